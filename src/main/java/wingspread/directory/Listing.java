package wingspread.directory;

import java.net.InetSocketAddress;
import wingspread.control.CallControl.Exchange;
import wingspread.control.CallControl.Readiness;

/** One exchange as the directory tells it: its line for the module, and where it listens. */
public record Listing(String uid, InetSocketAddress endpoint, Exchange exchange) {
    /**
     * Whether another says the same; false for none. Guards the start: what a record compares by itself is linked field
     * by field at run time, which takes 30 ms of it.
     */
    boolean same(Listing other) {
        if (other == null) {
            return false;
        }
        Exchange a = exchange;
        Exchange b = other.exchange;
        return uid.equals(other.uid) && endpoint.equals(other.endpoint) && a.address() == b.address()
                && a.zone() == b.zone() && a.kind() == b.kind() && a.place() == b.place()
                && a.readiness() == b.readiness() && Double.compare(a.weight(), b.weight()) == 0
                && a.upSince() == b.upSince();
    }

    /** The same exchange, gone. */
    Listing gone() {
        return new Listing(uid, endpoint, new Exchange(exchange.address(), exchange.zone(), exchange.kind(),
                exchange.place(), Readiness.GONE, exchange.weight(), exchange.upSince()));
    }
}
