import java.util.List;

/** A bad client's number called holds line breaks: what follows them reaches the exchange as messages of their own. */
final class Trial7 {
    private static final String GOOD = "9b1f03aa5c7e2d41";
    private static final String BAD = "4c11aa0000000001";
    private static final String NEVER_SENT = "feedfacefeedface";

    private Trial7() { }

    public static void main(String[] args) {
        Rig.main(args, Trial7::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Rig.Exchange exchange = rig.exchange("exchange", Rig.SOUND);
        List<Rig.Host> hosts = List.of(new Rig.Host("s-00000001", exchange.port(), 2, false));
        Rig.Directory directory = rig.directory(query -> Rig.DnsAnswer.whole(query, 1, hosts));
        int port = Rig.freePort();
        rig.start(rig.config("config.json", port, 1, directory.port(),
                List.of(new Rig.Listed("s-00000001", exchange.port(), 2))), port, "softswitch");
        rig.awaitReady(port);

        Rig.Caller good = rig.caller("good caller", port);
        good.offer(GOOD, 2, "7f3a9c21e0b4d655", 3_000, "", "v=0\\r\\n");
        if (!rig.await(5_000, () -> good.count("accept", GOOD) == 1 && exchange.count("ACK", GOOD) == 1)) {
            throw new Rig.CannotRun("the good caller's call does not stand");
        }
        Rig.Caller bad = rig.caller("bad client", port);
        String number = rig.trouble
                ? "1@net SIP/2.0\\r\\nCall-ID: " + BAD + "\\r\\nCSeq: 1 INVITE\\r\\nContent-Length: 0\\r\\n\\r\\n"
                + "BYE sip:1@net SIP/2.0\\r\\nCall-ID: " + GOOD + "\\r\\nCSeq: 2 BYE\\r\\n"
                + "Reason: Q.850;cause=16\\r\\nContent-Length: 0\\r\\n\\r\\n"
                + "INVITE sip:2@net SIP/2.0\\r\\nCall-ID: " + NEVER_SENT + "\\r\\nCSeq: 1 INVITE\\r\\n"
                + "X-Tier: token-balance\\r\\nX-Deadline: 1500\\r\\nContent-Length: 0\\r\\n\\r\\nOPTIONS sip:1"
                : "7f3a9c21e0b4d656";
        bad.offer(BAD, 2, number, 3_000, "", "v=0\\r\\n");
        rig.await(5_000, () -> bad.ended || !bad.received.isEmpty());
        Rig.sleep(2_000);

        long foreign = exchange.received.stream().filter(m -> m.method().equals("INVITE"))
                .filter(m -> !m.callId().equals(GOOD) && !m.callId().equals(BAD)).count();
        boolean cut = exchange.count("BYE", GOOD) > 0;
        rig.note("set-ups at the exchange whose id no caller has sent: " + foreign);
        rig.note("the exchange got a release of the good caller's call, which nobody has released: " + cut);
        return foreign == 0 && !cut;
    }
}
