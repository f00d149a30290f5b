package wingspread.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Readiness;
import wingspread.json.Json;
import wingspread.net.InvalidInputException;
import wingspread.net.Loop;
import wingspread.net.UnixClock;
import wingspread.testing.Fuzz;

/** The directory client: parsing of responses, changes of the list, and queries over UDP and TCP. */
class DirectoryTest {
    private static final int NAME_OFFSET = 12;
    private static final int ADDITIONAL_COUNT_OFFSET = 11;
    /** Offset of the low byte of the type in the question for the list. */
    private static final int QUESTION_TYPE_OFFSET = 34;
    private static final int QUESTION_END = QUESTION_TYPE_OFFSET + 3;
    private static final int ADDRESS_RECORD_BYTES = 16;
    /** Length of the address and the TXT record at the end of a response that lists one exchange. */
    private static final int HOST_RECORD_BYTES = ADDRESS_RECORD_BYTES + 38;

    /**
     * Returns a response with compressed names: one exchange if {@code listed}, and the serial number in the authority
     * section.
     */
    private static byte[] response(int id, int priority, int serial, boolean listed) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        u16(out, id, 0x8400, 1, listed ? 1 : 0, 1, listed ? 2 : 0);
        label(out, "_back", "_tcp", "pool", "lan");
        out.write(0);
        u16(out, 33, 1);
        int hostOffset = 0;
        if (listed) {
            u16(out, 0xc000 | NAME_OFFSET, 33, 1, 0, 0, 22, priority, 40, 3868);
            hostOffset = out.size();
            label(out, "s-1", "east", "hosts");
            out.write(0);
        }
        u16(out, 0xc000 | NAME_OFFSET, 6, 1, 0, 0, 24, 0xc000 | NAME_OFFSET, 0xc000 | NAME_OFFSET, 0, serial,
                0, 1, 0, 1, 0, 1, 0, 1);
        if (listed) {
            u16(out, 0xc000 | hostOffset, 1, 1, 0, 0, 4, 0x7f00, 9);
            u16(out, 0xc000 | hostOffset, 16, 1, 0, 0, 26);
            for (String text : List.of("kind=std", "cell=2", "started=7")) {
                label(out, text);
            }
        }
        return out.toByteArray();
    }

    /** Returns a response that lists one exchange and lacks the additional records, as RFC 2181, section 9, allows. */
    private static byte[] responseWithoutHosts(int id, int serial) {
        byte[] whole = response(id, 0, serial, true);
        byte[] part = Arrays.copyOf(whole, whole.length - HOST_RECORD_BYTES);
        part[ADDITIONAL_COUNT_OFFSET] = 0;
        return part;
    }

    /** Returns the response to a query about one host, cut short before its record or whole. */
    private static byte[] hostResponse(byte[] query, boolean cutShort) {
        boolean forAddress = query[query.length - 3] == DnsMessage.A;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        u16(out, u16(query), cutShort ? 0x8600 : 0x8400, 1, cutShort ? 0 : 1, 0, 0);
        out.write(query, NAME_OFFSET, query.length - NAME_OFFSET);
        if (!cutShort) {
            byte[] records = response(0, 0, 0, true);
            int addressAt = records.length - HOST_RECORD_BYTES;
            int textAt = addressAt + ADDRESS_RECORD_BYTES;
            byte[] record = Arrays.copyOfRange(records, forAddress ? addressAt : textAt,
                    forAddress ? textAt : records.length);
            record[1] = NAME_OFFSET;
            out.writeBytes(record);
        }
        return out.toByteArray();
    }

    private static void u16(ByteArrayOutputStream out, int... values) {
        for (int value : values) {
            out.write(value >> 8);
            out.write(value);
        }
    }

    private static void label(ByteArrayOutputStream out, String... labels) {
        for (String label : labels) {
            out.write(label.length());
            out.writeBytes(label.getBytes(StandardCharsets.US_ASCII));
        }
    }

    private final List<String> reported = new ArrayList<>();
    private final List<byte[]> queries = new ArrayList<>();
    private final List<byte[]> tcpQueries = new ArrayList<>();
    private long now = 1_000_000_000;
    private final DirectoryClient client = new DirectoryClient(new Roster(List.of("west", "east"), List.of("std")),
            new SplittableRandom(7), new DirectoryClient.Transport() {
                @Override
                public void send(byte[] query) {
                    queries.add(query);
                }

                @Override
                public void sendOverTcp(byte[] query) {
                    tcpQueries.add(query);
                }
            }, (kind, entries) -> entries.forEach(entry -> reported.add(kind + " " + entry.uid() + " "
                    + entry.endpoint().getPort() + " " + entry.exchange().address() + " "
                    + entry.exchange().zone() + " " + entry.exchange().place() + " "
                    + entry.exchange().readiness() + " " + entry.exchange().upSince())));

    private void receive(byte[] response) {
        client.handleMessage(now, response);
    }

    /** Sends a query for the list and returns its id. */
    private int queryList() {
        client.queryList(now);
        return u16(queries.get(queries.size() - 1));
    }

    private static final String CACHED_EXCHANGE = "{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.9:3868\",\"az\":\"east\","
            + "\"model\":\"std\",\"pod_group\":2,\"state\":\"up\",\"capacity_hint\":4,\"boot_ms\":0}";

    /** Loads a list of the start, one notice for each list of targets, and sends a query. */
    private int loadCached(String... noticeTargets) throws InvalidInputException {
        List<String> notices = new ArrayList<>();
        for (String targets : noticeTargets) {
            notices.add("{\"rev\":" + (notices.size() + 1) + ",\"pool\":{\"all\":" + notices.isEmpty()
                    + ",\"targets\":[" + targets + "]}}");
        }
        client.loadCached((Map<?, ?>) Json.parse(("{\"rev\":4,\"notices\":[" + String.join(",", notices) + "]}")
                .getBytes(StandardCharsets.US_ASCII)));
        return queryList();
    }

    private int loadCached() throws InvalidInputException {
        return loadCached(CACHED_EXCHANGE);
    }

    /**
     * Guards against calls to a wrong exchange: one whose number or start time the list of the start left out counted
     * as that at place 0, started long ago, and the directory's list with the same serial number was ignored.
     */
    @Test
    void waitsForDirectoryWhereCachedExchangeLacksAFigure() throws InvalidInputException {
        for (String field : List.of("\"pod_group\":2", "\"boot_ms\":0", "\"model\":\"std\"", "\"az\":\"east\"",
                "\"endpoint\":\"127.0.0.9:3868\"", "\"state\":\"up\"", "\"capacity_hint\":4")) {
            DirectoryTest test = new DirectoryTest();
            int id = test.loadCached(CACHED_EXCHANGE.replace(field, "\"other\":1"));
            assertEquals(List.of(), test.reported, field);
            test.receive(response(id, 0, 4, true));
            assertEquals(List.of(ListKind.DELTA + " s-1 3868 1 1 2 " + Readiness.READY + " 7000"), test.reported,
                    field);
        }
    }

    /** Guards against figures lost where a later notice of the list of the start has only what has changed. */
    @Test
    void keepsFiguresThatLaterCachedNoticeLeavesOut() throws InvalidInputException {
        String other = CACHED_EXCHANGE.replace("s-1", "s-2");
        loadCached(CACHED_EXCHANGE + "," + other, "{\"uid\":\"s-1\",\"state\":\"draining\"}",
                "{\"uid\":\"s-2\",\"state\":\"removed\"}");
        assertEquals(List.of(ListKind.CACHED + " s-1 3868 1 1 2 " + Readiness.DRAINING + " 0"), reported);
    }

    @Test
    void reportsCachedListAndEachChangeOnceAndForgetsRemovedUids() throws InvalidInputException {
        int id = loadCached();
        receive(response(id, 1, 5, true));
        receive(response(id, 1, 5, true));
        receive(response(id, 0, 4, true));
        receive(response(id ^ 1, 0, 6, true));
        receive(response(id, 0, 6, false));
        receive(response(id, 0, 7, true));
        assertEquals(List.of(ListKind.CACHED + " s-1 3868 1 1 2 " + Readiness.READY + " 0",
                ListKind.DELTA + " s-1 3868 1 1 2 " + Readiness.DRAINING + " 7000",
                ListKind.DELTA + " s-1 3868 1 1 2 " + Readiness.GONE + " 7000",
                ListKind.DELTA + " s-1 3868 2 1 2 " + Readiness.READY + " 7000"), reported);
    }

    @Test
    void acceptsLateResponseUntilItsQueryExpires() throws InvalidInputException {
        int first = loadCached();
        queryList();
        receive(response(first, 1, 5, true));
        assertEquals(2, reported.size());
        for (int i = 0; i < 26; i++) {
            now += DirectoryClient.QUERY_INTERVAL_MICROS;
            queryList();
        }
        // A response that is seconds late is accepted; later its query has expired.
        receive(response(first, 0, 6, true));
        assertEquals(3, reported.size());
        now += 2 * DirectoryClient.QUERY_INTERVAL_MICROS;
        queryList();
        receive(response(first, 1, 7, true));
        assertEquals(3, reported.size());
    }

    @Test
    void keepsExchangesMissingFromTruncatedResponse() throws InvalidInputException {
        int id = loadCached();
        byte[] empty = response(id, 0, 9, false);
        empty[2] |= 2;
        receive(empty);
        assertEquals(1, reported.size());
        byte[] draining = response(id, 1, 9, true);
        draining[2] |= 2;
        receive(draining);
        assertEquals(ListKind.DELTA + " s-1 3868 1 1 2 " + Readiness.DRAINING + " 7000", reported.get(1));
        // The complete list with the same serial number is still applied.
        receive(response(id, 0, 9, false));
        assertEquals(ListKind.DELTA + " s-1 3868 1 1 2 " + Readiness.GONE + " 7000", reported.get(2));
    }

    /** Over real sockets: a query over UDP gets a truncated response, and the complete list is fetched over TCP. */
    @Test
    void fetchesCompleteListOverTcpAfterTruncatedResponse() throws Exception {
        Loop loop = new Loop(new UnixClock());
        BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
        Directory directory = new Directory(loop, List.of("west", "east"), List.of("std"), 7,
                (kind, entries) -> entries.forEach(
                        entry -> notifications.add(entry.uid() + " " + entry.exchange().readiness())));
        InetAddress local = InetAddress.getLoopbackAddress();
        try (ServerSocket tcp = new ServerSocket(0, 8, local);
                DatagramSocket udp = new DatagramSocket(tcp.getLocalPort(), local)) {
            tcp.setSoTimeout(10_000);
            udp.setSoTimeout(10_000);
            loop.execute(() -> directory.setServer((InetSocketAddress) tcp.getLocalSocketAddress()));
            DatagramPacket question = new DatagramPacket(new byte[512], 512);
            udp.receive(question);
            byte[] part = response(u16(question.getData()), 0, 9, false);
            part[2] |= 2;
            udp.send(new DatagramPacket(part, part.length, question.getSocketAddress()));
            try (Socket connection = tcp.accept()) {
                connection.setSoTimeout(10_000);
                DataInputStream in = new DataInputStream(connection.getInputStream());
                byte[] query = in.readNBytes(in.readUnsignedShort());
                byte[] complete = response(u16(query), 0, 9, true);
                DataOutputStream out = new DataOutputStream(connection.getOutputStream());
                out.writeShort(complete.length);
                out.write(complete);
                assertEquals("s-1 READY", notifications.poll(10, TimeUnit.SECONDS));
            }
        } finally {
            loop.stop();
        }
    }

    private static int u16(byte[] message) {
        return (message[0] & 0xff) << 8 | message[1] & 0xff;
    }

    private final Roster roster = new Roster(List.of("west", "east"), List.of("std"));

    private static DnsMessage list(int serial, boolean truncated, DnsMessage.Record... records) {
        List<DnsMessage.Record> all = new ArrayList<>(List.of(records));
        all.add(new DnsMessage.Soa(serial));
        return new DnsMessage(99, 0, truncated, null, all);
    }

    private static DnsMessage.Srv srv(String uid, int priority) {
        return srvAt(5_000, uid, priority);
    }

    private static DnsMessage.Srv srvAt(int port, String uid, int priority) {
        return new DnsMessage.Srv(priority, 10, port, uid + ".east.hosts");
    }

    private static DnsMessage.Address address(String uid) {
        return new DnsMessage.Address(uid + ".east.hosts", new byte[] {127, 0, 0, 9});
    }

    private static DnsMessage.Text attributes(String uid) {
        return new DnsMessage.Text(uid + ".east.hosts", List.of("kind=std", "cell=2", "started=7"));
    }

    private static List<String> states(Roster.Update update) {
        return update.changes().stream().map(entry -> entry.uid() + " " + entry.exchange().place() + " "
                + entry.exchange().readiness()).toList();
    }

    @Test
    void skipsNewExchangeWithoutHostRecordsUntilTheyAreResolved() throws InvalidInputException {
        assertEquals(List.of("a 2 READY"),
                states(roster.applyResponse(list(1, false, srv("a", 0), address("a"), attributes("a")))));
        // A known exchange still changes its state; a new one waits for its host records, and no exchange is removed.
        DnsMessage incompleteList = list(2, false, srv("a", 1), srv("b", 0));
        Roster.Update update = roster.applyResponse(incompleteList);
        assertEquals(List.of("a 2 DRAINING"), states(update));
        assertEquals(Set.of("b.east.hosts"), update.incompleteHosts());
        roster.addHostRecords("b.east.hosts", new DnsMessage(1, 0, false, null, List.of(address("b"))));
        assertEquals(Set.of("b.east.hosts"), roster.applyResponse(incompleteList).incompleteHosts());
        roster.addHostRecords("b.east.hosts", new DnsMessage(2, 0, false, null, List.of(attributes("b"))));
        assertEquals(List.of("b 2 READY"), states(roster.applyResponse(incompleteList)));
        // Only now is the serial number of the list recorded, so that a list with the same number is ignored.
        assertEquals(List.of(), states(roster.applyResponse(list(2, false))));
    }

    /** The records of an answer to the query for the attributes of one host, cut short in different ways. */
    private static List<List<DnsMessage.Record>> incompleteAttributes() {
        String host = "b.east.hosts";
        return List.of(List.of(), List.of(new DnsMessage.Text(host, List.of())),
                List.of(new DnsMessage.Text(host, List.of("kind=std"))),
                List.of(new DnsMessage.Text(host, List.of("kind=std", "started=7"))),
                List.of(new DnsMessage.Text(host, List.of("cell=2", "started=7"))),
                List.of(new DnsMessage.Text(host, List.of("kind=std", "cell=2"))),
                List.of(new DnsMessage.Text(host, List.of("kind=std", "cell", "started"))),
                List.of(attributes("c")), List.of(new DnsMessage.Soa(3)));
    }

    /**
     * Guards against transit calls sent to another exchange than their destination: an exchange whose attributes had
     * been cut off counted as the one at place 0, and whole lists with the same serial number did not correct it.
     */
    @Test
    void neverAddsExchangeWithAttributesThatNoAnswerStated() throws InvalidInputException {
        DnsMessage withoutHosts = list(2, false, srv("b", 0));
        roster.applyResponse(withoutHosts);
        roster.addHostRecords("b.east.hosts", new DnsMessage(1, 0, false, null, List.of(address("b"))));
        for (boolean truncated : List.of(true, false)) {
            for (List<DnsMessage.Record> records : incompleteAttributes()) {
                roster.addHostRecords("b.east.hosts", new DnsMessage(2, 0, truncated, null, records));
                assertEquals(List.of(DnsMessage.TXT), roster.missingRecordTypes("b.east.hosts"), records::toString);
                assertEquals(List.of(), states(roster.applyResponse(withoutHosts)), records::toString);
            }
        }
        assertEquals(List.of(),
                states(roster.applyResponse(list(2, true, srv("b", 0), new DnsMessage.Text("b.east.hosts",
                        List.of("kind=std"))))));
        assertEquals(List.of("b 2 READY"),
                states(roster.applyResponse(list(2, false, srv("b", 0), address("b"), attributes("b")))));
    }

    /**
     * Guards against transit calls sent to another exchange than their destination: the answer to the query for a
     * host's attributes was cut short, and the exchange counted as the one at place 0.
     */
    @Test
    void reportsNewExchangeOnlyOnceItsAttributesHaveArrivedWhole() {
        receive(responseWithoutHosts(queryList(), 5));
        for (boolean cutShort : List.of(true, false)) {
            List<byte[]> hostQueries = List.copyOf(queries.subList(queries.size() - (cutShort ? 2 : 1),
                    queries.size()));
            hostQueries.forEach(query -> receive(hostResponse(query, cutShort
                    && query[query.length - 3] == DnsMessage.TXT)));
            assertEquals(List.of(), reported);
            now += 2 * DirectoryClient.QUERY_INTERVAL_MICROS;
            receive(responseWithoutHosts(queryList(), 5));
        }
        assertEquals(List.of(ListKind.DELTA + " s-1 3868 1 1 2 " + Readiness.READY + " 7000"), reported);
    }

    /** Guards against a list that is rejected for good because of one malformed answer about a host. */
    @Test
    void ignoresHostAnswerWithMalformedAttributes() throws InvalidInputException {
        DnsMessage withoutHosts = list(2, false, srv("b", 0));
        roster.applyResponse(withoutHosts);
        for (String malformed : List.of("cell=x", "cell=-1", "cell=2147483648", "started=-1",
                "started=9223372036854775807", "started=")) {
            List<String> texts = new ArrayList<>(List.of("kind=std", "cell=2", "started=7"));
            texts.add(malformed);
            DnsMessage answer = new DnsMessage(2, 0, false, null,
                    List.of(address("b"), new DnsMessage.Text("b.east.hosts", texts)));
            assertThrows(InvalidInputException.class, () -> roster.addHostRecords("b.east.hosts", answer), malformed);
            assertEquals(List.of(), states(roster.applyResponse(withoutHosts)));
        }
        roster.addHostRecords("b.east.hosts",
                new DnsMessage(3, 0, false, null, List.of(address("b"), attributes("b"))));
        assertEquals(List.of("b 2 READY"), states(roster.applyResponse(withoutHosts)));
    }

    private static DnsMessage.Text startedAt(String uid, long milliseconds) {
        return new DnsMessage.Text(uid + ".east.hosts", List.of("kind=std", "cell=3", "started=" + milliseconds));
    }

    /**
     * Guards against work at the wrong exchange: a truncated list names the successor at an address and not that the
     * former exchange there has gone, and calls to the former went to the successor.
     */
    @Test
    void removesExchangeWhoseAddressHasPassedToALaterOneInTruncatedList() throws InvalidInputException {
        roster.applyResponse(list(1, false, srv("a", 0), address("a"), attributes("a")));
        assertEquals(List.of("b 3 READY", "a 2 GONE"),
                states(roster.applyResponse(list(2, true, srv("b", 0), address("b"), startedAt("b", 8)))));
        // An older list, cut short before its serial number, does not bring the former one back to that address.
        assertEquals(List.of(), states(roster.applyResponse(new DnsMessage(99, 0, true, null,
                List.of(srv("a", 0), address("a"), attributes("a"))))));
        assertEquals(List.of("b"), roster.entries().stream().map(DirectoryEntry::uid).toList());
        // The start time decides nothing: a newer list that names an exchange is right about its address.
        assertEquals(List.of("c 3 READY", "b 3 GONE"),
                states(roster.applyResponse(list(3, true, srv("c", 0), address("c"), startedAt("c", 0)))));
    }

    /**
     * The drain rule: no call is sent to a draining exchange. A truncated list that was overtaken by a newer one must
     * not make the exchange ready again.
     */
    @Test
    void keepsDrainingAfterOvertakenTruncatedList() throws InvalidInputException {
        roster.applyResponse(list(1, false, srv("a", 0), address("a"), attributes("a")));
        assertEquals(List.of("a 2 DRAINING"), states(roster.applyResponse(list(3, true, srv("a", 1)))));
        assertEquals(List.of(), states(roster.applyResponse(list(2, true, srv("a", 0)))));
        assertEquals(List.of(), states(roster.applyResponse(
                new DnsMessage(99, 0, true, null, List.of(srv("a", 0))))));
        assertEquals(List.of("a 2 READY"), states(roster.applyResponse(list(4, true, srv("a", 0)))));
    }

    /**
     * Guards against calls to an exchange that is gone or draining: an older list, cut short before its serial number,
     * brought it back. A list without a serial number, or with one lower than seen before, changes nothing.
     */
    @Test
    void changesNothingByOlderListOrOneWithoutSerialNumber() throws InvalidInputException {
        DnsMessage.Record[] older = {
            srvAt(5001, "drains", 0), srvAt(5002, "ready", 1),
            srvAt(5003, "moved", 0), new DnsMessage.Address("moved.east.hosts", new byte[] {127, 0, 0, 8}),
            startedAt("moved", 8),
            srvAt(5004, "gone", 0), address("gone"), attributes("gone"),
            srvAt(5005, "new", 0), address("new"), attributes("new")};
        roster.applyResponse(list(1, false,
                srvAt(5001, "drains", 0), address("drains"), attributes("drains"),
                srvAt(5002, "ready", 0), address("ready"), attributes("ready"),
                srvAt(5003, "moved", 0), address("moved"), attributes("moved"),
                srvAt(5004, "gone", 0), address("gone"), attributes("gone")));
        DnsMessage newest = list(9, false, srvAt(5001, "drains", 1), srvAt(5002, "ready", 0),
                srvAt(5003, "moved", 0));
        assertEquals(List.of("drains 2 DRAINING", "gone 2 GONE"), states(roster.applyResponse(newest)));
        List<DirectoryEntry> expected = roster.entries();
        for (boolean truncated : List.of(true, false)) {
            DnsMessage withoutSerial = new DnsMessage(99, 0, truncated, null, List.of(older));
            for (DnsMessage response : List.of(withoutSerial, list(8, truncated, older), list(0, truncated, older),
                    new DnsMessage(99, 0, truncated, null, List.of()))) {
                assertEquals(List.of(), states(roster.applyResponse(response)), response::toString);
                assertEquals(expected, roster.entries());
            }
        }
        assertEquals(List.of("drains 2 READY", "new 2 READY"), states(roster.applyResponse(list(10, true,
                srvAt(5001, "drains", 0), srvAt(5005, "new", 0), address("new"), attributes("new")))));
    }

    private static DnsMessage.Address movedAddress(String uid) {
        return new DnsMessage.Address(uid + ".east.hosts", new byte[] {127, 0, 0, 8});
    }

    private static List<String> figures(Roster.Update update) {
        return update.changes().stream().map(entry -> entry.uid() + " " + entry.endpoint().getAddress().getHostAddress()
                + " started " + entry.exchange().upSince()).toList();
    }

    /**
     * Guards against a cold exchange that counts as warm, or calls to its former address: it returned while lists came
     * without their hosts, and whole lists with the same serial number no longer corrected what had been missing.
     */
    @Test
    void takesHostOfKnownExchangeFromWholeListWithTheSameSerialNumber() throws InvalidInputException {
        roster.applyResponse(list(1, false, srv("a", 0), address("a"), attributes("a"), srvAt(5001, "b", 0),
                address("b"), attributes("b")));
        Roster.Update update = roster.applyResponse(list(2, false, srv("a", 1), srvAt(5001, "b", 0)));
        assertEquals(List.of("a 2 DRAINING"), states(update));
        assertEquals(Set.of(), update.incompleteHosts());
        assertEquals(Set.of("a.east.hosts", "b.east.hosts"), update.outdatedHosts());
        // A truncated list states the host of a alone; the whole one that of b, and repeats what is known.
        assertEquals(List.of("a 127.0.0.8 started 8000"),
                figures(roster.applyResponse(list(2, true, srv("a", 1), movedAddress("a"), startedAt("a", 8)))));
        update = roster.applyResponse(list(2, false, srv("a", 0), address("a"), attributes("a"), srvAt(5001, "b", 0),
                address("b"), startedAt("b", 9)));
        assertEquals(List.of("b 127.0.0.9 started 9000"), figures(update));
        assertEquals(Set.of(), update.outdatedHosts());
        assertEquals(List.of(), figures(roster.applyResponse(
                list(2, false, srvAt(5001, "b", 0), movedAddress("b"), startedAt("b", 10)))));
    }

    /** Guards against what a query about a host returned once being taken for what a later list says of it. */
    @Test
    void forgetsWhatWasResolvedBeforeTheHostWasListedAnew() throws InvalidInputException {
        DnsMessage resolved = new DnsMessage(2, 0, false, null, List.of(address("b"), attributes("b")));
        roster.applyResponse(list(2, false, srv("b", 0)));
        roster.addHostRecords("b.east.hosts", resolved);
        assertEquals(List.of("b 127.0.0.9 started 7000"), figures(roster.applyResponse(list(2, false, srv("b", 0)))));
        assertEquals(List.of("b 127.0.0.8 started 8000"),
                figures(roster.applyResponse(list(3, false, srv("b", 0), movedAddress("b"), startedAt("b", 8)))));
        assertEquals(List.of(), figures(roster.applyResponse(list(4, false, srv("b", 0)))));
        roster.addHostRecords("b.east.hosts", resolved);
        Roster.Update newer = roster.applyResponse(list(5, false, srv("b", 0)));
        assertEquals(List.of(), figures(newer));
        assertEquals(Set.of("b.east.hosts"), newer.outdatedHosts());
        assertEquals(List.of("b 3 GONE"), states(roster.applyResponse(list(6, false))));
        // A late answer to a query from before the removal says nothing about the exchange that is listed now.
        roster.addHostRecords("b.east.hosts", resolved);
        Roster.Update returned = roster.applyResponse(list(7, false, srv("b", 0)));
        assertEquals(List.of(), states(returned));
        assertEquals(Set.of("b.east.hosts"), returned.incompleteHosts());
    }

    /** Guards against a late answer about a host, from before it left the list, that counts once it has returned. */
    @Test
    void ignoresLateAnswerAboutHostFromBeforeItReturned() {
        receive(responseWithoutHosts(queryList(), 5));
        List<byte[]> outdated = List.copyOf(queries.subList(queries.size() - 2, queries.size()));
        receive(response(queryList(), 0, 6, false));
        receive(responseWithoutHosts(queryList(), 7));
        outdated.forEach(query -> receive(hostResponse(query, false)));
        now += 2 * DirectoryClient.QUERY_INTERVAL_MICROS;
        receive(responseWithoutHosts(queryList(), 7));
        assertEquals(List.of(), reported);
        List.copyOf(queries.subList(queries.size() - 2, queries.size()))
                .forEach(query -> receive(hostResponse(query, false)));
        receive(responseWithoutHosts(queryList(), 7));
        assertEquals(List.of(ListKind.DELTA + " s-1 3868 1 1 2 " + Readiness.READY + " 7000"), reported);
    }

    /**
     * Guards against the removal of every exchange: an answer under a wrong id, that a host has no such record, passed
     * for a list of the zone's newest serial number without an exchange.
     */
    @Test
    void ignoresAnswerWhoseQuestionIsNotThatOfItsQuery() throws InvalidInputException {
        int id = loadCached();
        byte[] emptyList = response(id, 0, 9, false);
        byte[] noData = emptyList.clone();
        noData[QUESTION_TYPE_OFFSET] = DnsMessage.TXT;
        receive(noData);
        byte[] otherName = emptyList.clone();
        otherName[NAME_OFFSET + 1] = 'x';
        receive(otherName);
        assertEquals(1, reported.size());
        // The list is answered under the id of a query for a host, which stays open for its own answer.
        receive(responseWithoutHosts(queryList(), 5));
        byte[] hostQuery = queries.get(queries.size() - 1);
        receive(response(u16(hostQuery), 1, 9, true));
        receive(hostResponse(hostQuery, false));
        receive(hostResponse(queries.get(queries.size() - 2), false));
        receive(responseWithoutHosts(queryList(), 5));
        assertEquals(ListKind.DELTA + " s-1 3868 1 1 2 " + Readiness.READY + " 7000",
                reported.get(reported.size() - 1));
    }

    /** Guards against an exchange that stays unknown while the directory answers in full over TCP alone. */
    @Test
    void asksOverTcpWhereTruncatedAnswerLacksTheRecord() throws InvalidInputException {
        receive(responseWithoutHosts(queryList(), 5));
        List<byte[]> overUdp = List.copyOf(queries.subList(queries.size() - 2, queries.size()));
        overUdp.forEach(query -> receive(hostResponse(query, query[query.length - 3] == DnsMessage.TXT)));
        assertEquals(1, tcpQueries.size());
        byte[] overTcp = tcpQueries.get(0);
        assertEquals(DnsMessage.TXT, overTcp[overTcp.length - 3]);
        receive(hostResponse(overTcp, false));
        receive(responseWithoutHosts(queryList(), 5));
        assertEquals(List.of(ListKind.DELTA + " s-1 3868 1 1 2 " + Readiness.READY + " 7000"), reported);
    }

    /** Guards against a list that is never learnt: one truncated within a record was not asked for again. */
    @Test
    void asksOverTcpForListThatIsTruncatedWithinARecord() throws InvalidInputException {
        loadCached();
        int wholeLength = response(0, 1, 9, true).length;
        for (int length = QUESTION_END; length < wholeLength; length++) {
            tcpQueries.clear();
            now += DirectoryClient.TCP_TIMEOUT_MICROS;
            byte[] part = Arrays.copyOf(response(queryList(), 1, 9, true), length);
            part[2] |= 2;
            receive(part);
            assertEquals(1, tcpQueries.size(), "of " + length + " bytes");
        }
        // What was whole counts; the attributes in the last record never were.
        assertEquals(List.of(ListKind.CACHED + " s-1 3868 1 1 2 " + Readiness.READY + " 0",
                ListKind.DELTA + " s-1 3868 1 1 2 " + Readiness.DRAINING + " 0"), reported);
    }

    /** Guards against a directory that has moved (SIGHUP) or restarted and tells an older list. */
    @Test
    void keepsListWhileDirectoryThatHasMovedTellsOlderOnes() throws InvalidInputException {
        int id = loadCached();
        receive(response(id, 1, 9, true));
        int afterMove = queryList();
        byte[] older = response(afterMove, 0, 6, true);
        receive(older);
        receive(response(afterMove, 0, 1, false));
        older[2] |= 2;
        receive(older);
        assertEquals(2, reported.size());
        receive(response(afterMove, 0, 10, true));
        assertEquals(ListKind.DELTA + " s-1 3868 1 1 2 " + Readiness.READY + " 7000", reported.get(2));
    }

    @Test
    void readsThousandExchangesFromOneListAndFromParts() throws InvalidInputException {
        List<DnsMessage.Record> whole = new ArrayList<>();
        for (int i = 0; i < 1_024; i++) {
            whole.addAll(List.of(srvAt(5_000 + i, "s-" + i, 0), address("s-" + i), attributes("s-" + i)));
        }
        for (int from = 0; from < whole.size(); from += 300) {
            roster.applyResponse(list(5, true, whole.subList(from, Math.min(whole.size(), from + 300))
                    .toArray(DnsMessage.Record[]::new)));
        }
        assertEquals(1_024, roster.entries().size());
        assertEquals(List.of(), states(roster.applyResponse(list(5, false, whole.toArray(DnsMessage.Record[]::new)))));
        assertEquals(1_024, roster.applyResponse(list(6, false)).changes().size());
    }

    @Property(tries = 2000, seed = "31")
    boolean parsesOrRejectsCorruptedMessage(@ForAll long seed) {
        return Fuzz.parsesOrRejects(DnsMessage::parse, Fuzz.mutate(response(99, 0, 9, true), seed));
    }

    @Property(tries = 200, seed = "32")
    void rejectsCutMessage(@ForAll byte cut) {
        byte[] whole = response(99, 0, 9, true);
        byte[] part = Arrays.copyOf(whole, (cut & 0xff) % whole.length);
        assertThrows(InvalidInputException.class, () -> DnsMessage.parse(part));
    }
}
