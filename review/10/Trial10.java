import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * An exchange hangs through the whole of a planned restart, in which no caller holds a connection. A call stands on it.
 */
final class Trial10 {
    private static final String CALL = "9b1f03aa5c7e2d41";
    /** 8 s, and 50 ms on sockets. */
    private static final int BOUND_MILLIS = 8_050;

    private Trial10() { }

    public static void main(String[] args) {
        Rig.main(args, Trial10::run);
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
        // "Callers ... close a connection that has carried no call for 4 s", and a standing call belongs to no connection.
        Rig.sleep(4_000);
        caller.close();
        Rig.sleep(500);
        if (rig.trouble) {
            rig.note("the exchange hangs");
            exchange.hang(true);
        }
        Rig.sleep(200);
        node.terminate();
        if (!node.process.waitFor(3_700, TimeUnit.MILLISECONDS)) {
            node.kill();
        }
        rig.note("the softswitch has ended, exit code " + node.process.exitValue());
        rig.start(config, port, "softswitch-restarted");
        if (rig.trouble) {
            rig.note("the exchange goes on");
            exchange.hang(false);
        }
        rig.awaitReady(port);
        Rig.Caller back = rig.caller("caller, back", port);
        boolean cutHere = rig.trouble && rig.await(1_000, () -> exchange.count("BYE", CALL) > 0);
        double overAt = rig.millis();
        if (!cutHere) {
            Rig.sleep(2_000);
            rig.note("the call comes to its end at the exchange");
            overAt = rig.millis();
            exchange.release(CALL, 16);
        }
        // The caller stays connected and offers calls for longer than the 8 s and 50 ms of the rule.
        for (int i = 0; rig.millis() < overAt + BOUND_MILLIS && back.count("end", CALL) == 0; i++) {
            back.offer(String.format("00000000000c%04x", i), 2, "7f3a9c21e0b4d655", 3_000, "", "v=0\\r\\n");
            Rig.sleep(500);
        }
        rig.note("releases of the call by the softswitch at the exchange: " + exchange.count("BYE", CALL)
                + ", to the caller: " + back.count("end", CALL));
        return back.count("end", CALL) > 0;
    }
}
