package wingspread.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import wingspread.control.CallControl.Readiness;
import wingspread.directory.DnsMessage;
import wingspread.net.InvalidInputException;
import wingspread.testbed.NameServer.ListedExchange;

class NameServerTest {
    @Test
    void answerIsParsedByDnsMessage() throws InvalidInputException {
        byte[] answer = NameServer.answer(DnsMessage.query(77, "_back._tcp.pool.lan", 33), 70_000, List.of(
                new ListedExchange("x1", "z0", 4, 5_000, Readiness.READY, 0),
                new ListedExchange("x2", "z1", 5, 5_001, Readiness.DRAINING, 1_700_000_000_123L)), 8_000);
        DnsMessage message = DnsMessage.parse(answer);
        assertEquals(77, message.id());
        List<DnsMessage.Record> records = message.records();
        assertEquals(new DnsMessage.Srv(0, 10, 5_000, "x1.z0.hosts"), records.get(0));
        assertEquals(new DnsMessage.Srv(1, 10, 5_001, "x2.z1.hosts"), records.get(1));
        assertEquals(new DnsMessage.Soa(70_000), records.get(2));
        assertEquals(new DnsMessage.Text("x2.z1.hosts", List.of("kind=std", "cell=5", "started=1700000000123")),
                records.get(6));
        assertFalse(message.truncated());
    }

    @Test
    void truncatesLongListAfterLastExchangeThatFits() throws InvalidInputException {
        List<ListedExchange> list = IntStream.range(0, 400)
                .mapToObj(i -> new ListedExchange("x" + i, "z0", i, 5_000 + i, Readiness.READY, 0)).toList();
        byte[] question = DnsMessage.query(77, "_back._tcp.pool.lan", 33);
        byte[] truncatedAnswer = NameServer.answer(question, 3, list, 8_000);
        assertTrue(truncatedAnswer.length <= 8_000 && truncatedAnswer.length > 7_500,
                truncatedAnswer.length + " bytes");
        DnsMessage truncated = DnsMessage.parse(truncatedAnswer);
        assertTrue(truncated.truncated());
        assertEquals(1, truncated.records().size() % 3);
        DnsMessage complete = DnsMessage.parse(NameServer.answer(question, 3, list, 65_535));
        assertFalse(complete.truncated());
        assertEquals(1_201, complete.records().size());
    }
}
