package wingspread.directory;

import java.net.InetSocketAddress;
import wingspread.control.CallControl.Exchange;

/** One exchange as the directory tells it: its line for the module, and where it listens. */
public record Listing(String uid, InetSocketAddress endpoint, Exchange exchange) { }
