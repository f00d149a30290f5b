import java.util.List;

/** One bad client offers one call with a width out of range. Usual callers' calls stand on the same exchange. */
final class Trial8 {
    private static final int CALLS = 5;
    private static final String BAD = "4c11aa0000000001";
    /** The classes of the settings are one circuit wide. */
    private static final int WIDTH = 57;

    private Trial8() { }

    public static void main(String[] args) {
        Rig.main(args, Trial8::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Rig.Exchange exchange = rig.exchange("exchange", Rig.SOUND);
        List<Rig.Host> hosts = List.of(new Rig.Host("s-00000001", exchange.port(), 2, false));
        Rig.Directory directory = rig.directory(query -> Rig.DnsAnswer.whole(query, 1, hosts));
        int port = Rig.freePort();
        rig.start(rig.config("config.json", port, 1, directory.port(),
                List.of(new Rig.Listed("s-00000001", exchange.port(), 2))), port, "softswitch");
        rig.awaitReady(port);
        Rig.Caller usual = rig.caller("usual caller", port);
        for (int i = 0; i < CALLS; i++) {
            String call = id(i);
            usual.offer(call, 2, "7f3a9c21e0b4d655", 3_000, "", "v=0\\r\\n");
            if (!rig.await(3_000, () -> usual.count("accept", call) == 1 && exchange.count("ACK", call) == 1)) {
                throw new Rig.CannotRun("a usual caller's call does not stand");
            }
        }
        Rig.Caller bad = rig.caller("bad client", port);
        bad.send("{\"op\":\"offer\",\"call\":\"" + BAD + "\",\"with\":{\"class\":\"catalogue-page\",\"left\":\"3000\","
                + "\"key\":\"7f3a9c21e0b4d656\",\"extras\":\"dest:2;width:" + (rig.trouble ? WIDTH : 1)
                + ";via:-1\"},\"desc\":\"v=0\\r\\n\"}\n");
        rig.await(3_000, () -> !bad.received.isEmpty());
        boolean served = bad.count("accept", BAD) > 0;
        // The usual callers' calls last 10 s and more; none has come to its end by then.
        Rig.sleep(8_000);
        int cut = 0;
        for (int i = 0; i < CALLS; i++) {
            cut += usual.count("end", id(i)) > 0 || exchange.count("BYE", id(i)) > 0 ? 1 : 0;
        }
        rig.note("the bad client was answered that its call stands: " + served);
        rig.note("usual callers' calls that stood, that neither side released, and that were cut: " + cut + " of " + CALLS);
        return cut == 0;
    }

    private static String id(int number) {
        return String.format("9b1f03aa5c7e2d4%x", number);
    }
}
