package wingspread;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import wingspread.control.CallControl.Readiness;
import wingspread.sip.SipMessage;
import wingspread.testbed.NameServer.ListedExchange;
import wingspread.testing.DirectoryServer;
import wingspread.testing.Wire;

/** An exchange leaves the directory and its address is listed again, while connections from before are still open. */
class ReturnedExchangeTest extends ServeFixture {
    private static final int PLACE = 1;

    private List<ListedExchange> listed(String uid) {
        return List.of(new ListedExchange(uid, "here", PLACE, exchangeListener.getLocalPort(), Readiness.READY, 0));
    }

    /** Establishes a call on an exchange listed again as {@code uid}, and returns the connection from before. */
    private Wire<SipMessage> establishCallAfterReturn(String uid) throws Exception {
        Wire<SipMessage> earlier = exchange;
        try (DirectoryServer directory = new DirectoryServer(listed("s-1"))) {
            configure(directory.address());
            assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
            directory.publish(List.of());
            directory.publish(listed(uid));
            exchange = nextExchangeConnection();
            establishCall(CALL_ID);
        }
        return earlier;
    }

    private void assertReleaseReachesCaller(Wire<SipMessage> connection) throws Exception {
        connection.send(bye(CALL_ID, 16).encode());
        assertEquals(200, connection.next().status());
        assertEquals(CALL_ID, expectMessage("end").get("call"));
    }

    @Test
    void releaseOnConnectionFromBeforeReturnReachesCaller() throws Exception {
        Wire<SipMessage> earlier = establishCallAfterReturn("s-1");
        exchange.close();
        nextExchangeConnection();
        assertReleaseReachesCaller(earlier);
    }

    @Test
    void releaseOnConnectionFromBeforeAddressChangedHandsReachesCaller() throws Exception {
        Wire<SipMessage> earlier = establishCallAfterReturn("s-2");
        exchange.close();
        nextExchangeConnection();
        assertReleaseReachesCaller(earlier);
    }
}
