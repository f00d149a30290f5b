import java.util.List;

/**
 * An exchange joins while another drains. For 1 s the directory's answers arrive cut short: the list without its
 * additional records, and the answer to the query for the new host's TXT record, which names its cell, without that.
 */
final class Trial9 {
    private static final int CUT_MILLIS = 1_000;

    private Trial9() { }

    public static void main(String[] args) {
        Rig.main(args, Trial9::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Rig.Exchange zero = rig.exchange("exchange 0", Rig.SOUND);
        Rig.Exchange three = rig.exchange("exchange 3", Rig.SOUND);
        Rig.Exchange joining = rig.exchange("exchange 2 (joins)", Rig.SOUND);
        Rig.Host zeroUp = new Rig.Host("s-00000000", zero.port(), 0, false);
        Rig.Host zeroDraining = new Rig.Host("s-00000000", zero.port(), 0, true);
        Rig.Host threeUp = new Rig.Host("s-00000003", three.port(), 3, false);
        Rig.Host joiningUp = new Rig.Host("s-00c41f7a", joining.port(), 2, false);
        List<Rig.Host> before = List.of(zeroUp, threeUp);
        List<Rig.Host> after = List.of(zeroDraining, threeUp, joiningUp);
        Rig.Directory directory = rig.directory(query -> Rig.DnsAnswer.whole(query, 1, before));
        int port = Rig.freePort();
        rig.start(rig.config("config.json", port, 1, directory.port(),
                List.of(new Rig.Listed("s-00000000", zero.port(), 0),
                        new Rig.Listed("s-00000003", three.port(), 3))), port, "softswitch");
        rig.awaitReady(port);
        Rig.Caller upstream = rig.caller("softswitch 3", port);
        offerTransit(upstream, 0);
        if (!rig.await(3_000, () -> upstream.count("accept", id(0)) == 1)) {
            throw new Rig.CannotRun("a call in transit does not stand");
        }

        rig.note("directory: events 2 and 3, exchange 0 drains and exchange 2 joins");
        double changedAt = rig.millis();
        directory.answers = query -> {
            rig.note("directory: query of type " + query.type() + " for " + query.name());
            boolean cut = rig.trouble && rig.millis() < changedAt + CUT_MILLIS;
            if (cut && query.type() == Rig.DnsAnswer.SRV) {
                rig.note("directory: this list arrives cut short, without its additional records");
                return Rig.DnsAnswer.withoutAdditional(query, 3, after);
            }
            if (cut && query.type() == Rig.DnsAnswer.TXT) {
                rig.note("directory: this answer arrives cut short, without its record");
                return new Rig.DnsAnswer(query).cutShort().bytes();
            }
            return Rig.DnsAnswer.whole(query, 3, after);
        };
        int offered = 1;
        while (rig.millis() < changedAt + 8_000) {
            offerTransit(upstream, offered++);
            Rig.sleep(100);
        }
        Rig.sleep(1_000);
        long wrong = joining.count("INVITE") + three.count("INVITE");
        rig.note("calls in transit to exchange 0: " + offered + "; set-ups at exchange 0: " + zero.count("INVITE")
                + ", at exchanges that are not their destination: " + wrong);
        return wrong == 0;
    }

    private static String id(int number) {
        return String.format("00000000000a%04x", number);
    }

    private static void offerTransit(Rig.Caller upstream, int number) throws Exception {
        upstream.offer(id(number), 0, "7f3a9c21e0b4d655", 1_500, ";transit:1", "v=0\\r\\n");
    }
}
