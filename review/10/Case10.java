import java.util.List;

/**
 * The platform kills a softswitch on which one call stands. The call ends while the softswitch is down, in a quiet hour:
 * until its end must be told, callers only connect and test.
 */
final class Case10 {
    private static final String CALL = "9b1f03aa5c7e2d41";
    /** 8 s from the end of the call, and 50 ms on sockets. */
    private static final int BOUND_MILLIS = 8_050;

    private Case10() { }

    public static void main(String[] args) {
        Rig.main(args, Case10::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Rig.Exchange exchange = rig.exchange("exchange", Rig.SOUND);
        List<Rig.Host> hosts = List.of(new Rig.Host("s-00000001", exchange.port(), 2, false));
        Rig.Directory directory = rig.directory(query -> Rig.DnsAnswer.whole(query, 1, hosts));
        int port = Rig.freePort();
        var config = rig.config("config.json", port, 1, directory.port(),
                List.of(new Rig.Listed("s-00000001", exchange.port(), 2)));
        Rig.Node node = rig.start(config, port, "softswitch");
        rig.awaitReady(port);
        Rig.Caller caller = rig.caller("caller", port);
        caller.offer(CALL, 2, "7f3a9c21e0b4d655", 3_000, "", "v=0\\r\\n");
        if (!rig.await(5_000, () -> caller.count("accept", CALL) == 1 && exchange.count("ACK", CALL) == 1)) {
            throw new Rig.CannotRun("the call does not stand");
        }
        Rig.sleep(1_000);

        if (rig.trouble) {
            node.kill();
            Rig.sleep(200);
        }
        rig.note("the call ends at the exchange");
        double endedAt = rig.millis();
        exchange.release(CALL, 16);
        if (!rig.trouble) {
            rig.await(BOUND_MILLIS, () -> caller.count("end", CALL) > 0);
            return caller.count("end", CALL) == 1 && caller.first("end", CALL).atMillis() <= endedAt + 1_050;
        }
        Rig.sleep(200);
        rig.start(config, port, "softswitch-restarted");
        // The front notices the death, and the return, only after some seconds; then it keeps the connection of its test,
        // which it closes only after 4 s without a call.
        Rig.sleep((long) (endedAt + 4_300 - rig.millis()));
        Rig.Caller back = rig.caller("caller, back", port);
        if (!back.test()) {
            throw new Rig.CannotRun("the restarted softswitch passes no test");
        }
        rig.note("the restarted softswitch has read the release: " + exchange.releasesForNextConnection.isEmpty());
        double connectedAt = rig.millis();
        rig.await((long) (endedAt + BOUND_MILLIS - rig.millis()), () -> back.count("end", CALL) > 0);
        boolean told = back.count("end", CALL) > 0;
        rig.note(String.format("a caller was connected from %.0f to %.0f ms after the end of the call; its end was %s",
                connectedAt - endedAt, rig.millis() - endedAt, told ? "told" : "not told"));
        if (!told) {
            rig.note("afterwards, to see what becomes of the release: one more call is offered");
            back.offer("9b1f03aa5c7e2d42", 2, "7f3a9c21e0b4d655", 3_000, "", "v=0\\r\\n");
            rig.await(3_000, () -> back.count("end", CALL) > 0);
        }
        return told;
    }
}
