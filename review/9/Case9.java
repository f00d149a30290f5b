import java.util.List;

/**
 * An exchange drains and leaves the list. Afterwards one answer of the directory arrives late: an older list, cut short
 * before its authority section.
 */
final class Case9 {
    private Case9() { }

    public static void main(String[] args) {
        Rig.main(args, Case9::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Rig.Exchange three = rig.exchange("exchange 3", Rig.SOUND);
        Rig.Exchange leaving = rig.exchange("exchange 2 (leaves)", Rig.SOUND);
        Rig.Host threeUp = new Rig.Host("s-00000003", three.port(), 3, false);
        Rig.Host leavingUp = new Rig.Host("s-00000002", leaving.port(), 2, false);
        Rig.Host leavingDraining = new Rig.Host("s-00000002", leaving.port(), 2, true);
        List<Rig.Host> first = List.of(threeUp);
        List<Rig.Host> second = List.of(leavingUp, threeUp);
        List<Rig.Host> third = List.of(leavingDraining, threeUp);
        Rig.Directory directory = rig.directory(query -> Rig.DnsAnswer.whole(query, 1, first));
        int port = Rig.freePort();
        rig.start(rig.config("config.json", port, 1, directory.port(),
                List.of(new Rig.Listed("s-00000003", three.port(), 3))), port, "softswitch");
        rig.awaitReady(port);
        Rig.Caller caller = rig.caller("caller", port);
        rig.note("directory: event 2, exchange 2 joins");
        // With trouble, the lists arrive cut short for 1 s, without their additional records.
        directory.answers = query -> rig.trouble ? Rig.DnsAnswer.withoutAdditional(query, 2, second)
                : Rig.DnsAnswer.whole(query, 2, second);
        Rig.sleep(1_000);
        directory.answers = query -> Rig.DnsAnswer.whole(query, 2, second);
        Rig.sleep(1_000);
        offer(caller, 0);
        if (!rig.await(3_000, () -> caller.count("accept", id(0)) == 1)) {
            throw new Rig.CannotRun("a call does not stand");
        }
        rig.note("directory: event 3, exchange 2 drains");
        directory.answers = query -> Rig.DnsAnswer.whole(query, 3, third);
        Rig.sleep(2_000);
        rig.note("directory: event 4, exchange 2 is gone from the list");
        directory.answers = query -> Rig.DnsAnswer.whole(query, 4, first);
        double goneAt = rig.millis();
        Rig.sleep(2_000);
        if (rig.trouble) {
            rig.note("directory: one answer arrives with the list of event 2, cut short behind its answer section");
            boolean[] given = new boolean[1];
            directory.answers = query -> {
                if (query.type() == Rig.DnsAnswer.SRV && !given[0]) {
                    given[0] = true;
                    Rig.DnsAnswer old = new Rig.DnsAnswer(query);
                    second.forEach(old::srv);
                    return old.cutShort().bytes();
                }
                return Rig.DnsAnswer.whole(query, 4, first);
            };
        }
        int offered = 1;
        while (rig.millis() < goneAt + 8_000) {
            offer(caller, offered++);
            Rig.sleep(200);
        }
        Rig.sleep(500);
        // Bound of the rule: 500 ms from when the event was told, and 50 ms on sockets; told 1.5 s after it at most.
        long late = leaving.received.stream().filter(m -> m.method().equals("INVITE"))
                .filter(m -> m.atMillis() > goneAt + 2_050).count();
        rig.note("set-ups at exchange 2 later than 2,050 ms after it left the list: " + late);
        return late == 0;
    }

    private static String id(int number) {
        return String.format("00000000000b%04x", number);
    }

    private static void offer(Rig.Caller caller, int number) throws Exception {
        caller.offer(id(number), 2, "7f3a9c21e0b4d655", 1_500, "", "v=0\\r\\n");
    }
}
