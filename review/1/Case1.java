import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A bad client offers calls with figures out of range, hundreds at once, and each again as soon as it is turned away.
 * Every one of them is refused at once. The softswitch must go on to serve its usual callers.
 */
public final class Case1 {
    /** "hundreds of requests at once" */
    private static final int AT_ONCE = 300;
    private static final double UNTIL_SECONDS = 80;
    private static final double UNTIL_SECONDS_WITHOUT = 30;

    private Case1() { }

    public static void main(String[] args) throws Exception {
        Kit kit = new Kit(args[0]);
        Kit.Directory directory = kit.new Directory();
        Kit.InviteHandler serves = (exchange, line, invite) -> {
            exchange.establish(line, invite, "9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\n");
            Kit.daemon(() -> {
                Kit.sleep(2_000);
                exchange.release(invite.callId(), 16);
            });
        };
        Kit.Exchange one = kit.new Exchange("one", 1, serves);
        Kit.Exchange two = kit.new Exchange("two", 2, serves);
        directory.put(one.listed(false));
        directory.put(two.listed(false));
        Kit.Softswitch softswitch = kit.new Softswitch("n0", directory);
        softswitch.start();
        if (!softswitch.awaitReady(20_000)) {
            kit.finish(Kit.COULD_NOT_RUN, "the softswitch is not ready");
        }
        Kit.Caller usual = kit.new Caller("usual", softswitch);
        AtomicInteger bad = new AtomicInteger();
        AtomicInteger turnedAway = new AtomicInteger();
        if (kit.trouble) {
            Kit.Caller client = kit.new Caller("bad", softswitch);
            client.quiet = true;
            client.listener = (call, line) -> {
                client.lines.clear();
                client.heardAt.clear();
                if (line.contains("\"op\":\"end\"")) {
                    turnedAway.incrementAndGet();
                    offerAgain(client, bad);
                }
            };
            kit.note("the bad client begins: " + badOffer(Kit.newCallId()));
            for (int i = 0; i < AT_ONCE; i++) {
                offerAgain(client, bad);
            }
        }
        int offered = 0;
        int answered = 0;
        double until = kit.trouble ? UNTIL_SECONDS : UNTIL_SECONDS_WITHOUT;
        for (int second = 0; kit.seconds() < until && softswitch.alive(); second++) {
            String call = Kit.newCallId();
            offered++;
            try {
                usual.offer(call, 1 + second % 2, 3_000);
                if (usual.awaitHeard(call, "\"call\"", 3_500)) {
                    answered++;
                }
            } catch (IOException e) {
                kit.note("the usual caller's connection ended: " + e.getMessage());
                break;
            }
            if (second % 5 == 0) {
                kit.note("bad offers sent " + bad.get() + ", turned away " + turnedAway.get());
            }
            Kit.sleep(1_000);
        }
        kit.note("usual calls offered " + offered + ", answered " + answered + "; bad offers sent " + bad.get()
                + ", turned away " + turnedAway.get());
        softswitch.waitForEnd(5_000);
        if (!softswitch.alive()) {
            kit.finish(Kit.RULE_BROKEN, "the softswitch has ended by itself with exit code " + softswitch.exitCode());
        }
        kit.finish(answered == 0 ? Kit.COULD_NOT_RUN : Kit.RULE_HELD, "the softswitch runs");
    }

    private static void offerAgain(Kit.Caller client, AtomicInteger count) {
        try {
            count.incrementAndGet();
            client.send(badOffer(Kit.newCallId()));
        } catch (IOException e) {
            // The softswitch has closed the connection or has ended.
        }
    }

    /** A set-up whose time and destination are out of range; all else is as in the protocol page's example. */
    private static String badOffer(String call) {
        return Kit.offerLine(call, 9_999, "1000000000000", "7f3a9c21e0b4d655", Kit.description(call), false);
    }
}
