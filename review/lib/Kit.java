import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Stand-ins for the review's cases: the platform (configuration, start and signals), the directory (DNS over UDP and
 * TCP), exchanges (SIP over TCP) and callers (JSON lines over TCP), as PROTOCOL-wingspread.md describes them. Uses the
 * JDK only. Everything listens on 127.0.0.1 at free ports.
 */
final class Kit {
    static final String HOST = "127.0.0.1";
    static final int RULE_BROKEN = 1;
    static final int RULE_HELD = 0;
    static final int COULD_NOT_RUN = 2;

    static {
        // An exception of the case itself is no verdict.
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> {
            e.printStackTrace();
            System.exit(COULD_NOT_RUN);
        });
    }

    /** Whether the disruption is played; TROUBLE=0 leaves it out. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root;
    final Path temporary;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Softswitch> softswitches = new CopyOnWriteArrayList<>();

    /** Takes the folder of the case, where record.txt is written; the repository is two levels above it. */
    Kit(String caseFolder) throws IOException {
        Path folder = Path.of(caseFolder).toAbsolutePath().normalize();
        root = folder.getParent().getParent();
        temporary = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::cleanUp));
        // A case never runs longer than 115 s, whatever happens.
        Thread limit = new Thread(() -> {
            sleep(115_000);
            finish(COULD_NOT_RUN, "the case took too long");
        });
        limit.setDaemon(true);
        limit.start();
        note("case " + folder.getFileName() + ", disruption " + (trouble ? "on" : "off (TROUBLE=0)"));
    }

    synchronized void note(String text) {
        String shown = text.length() > 400 ? text.substring(0, 300) + "... (" + text.length() + " characters)" : text;
        String line = String.format(Locale.ROOT, "%9.3f %s", seconds(),
                shown.replace("\r", "\\r").replace("\n", "\\n"));
        record.println(line);
        System.out.println(line);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    /** Ends the case with an exit code and its reason; the shutdown hook ends every process. */
    void finish(int code, String reason) {
        note((code == RULE_BROKEN ? "RULE BROKEN: " : code == RULE_HELD ? "rule held: " : "could not run: ") + reason);
        System.exit(code);
    }

    private void cleanUp() {
        for (Softswitch softswitch : softswitches) {
            softswitch.kill();
        }
        for (Softswitch softswitch : softswitches) {
            softswitch.awaitKilled();
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            // The folder is in the system's temporary directory.
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // The platform.

    /** One softswitch as the platform runs it: `run` of the deploy file, with LB_NAME, LB_LISTEN and LB_CONFIG. */
    final class Softswitch {
        final String name;
        final int port;
        private final Path config;
        private Path workingFolder = root;
        private Process process;

        Softswitch(String name, Directory directory) throws IOException {
            this.name = name;
            this.port = freePort();
            this.config = temporary.resolve(name + ".json");
            softswitches.add(this);
            writeConfig(directory);
        }

        /** Writes the configuration with the directory's present list as `known`; replaces the file as a whole. */
        void writeConfig(Directory directory) throws IOException {
            Path next = temporary.resolve(name + ".next");
            Files.writeString(next, "{\"name\":\"" + name + "\",\"listen\":\"" + HOST + ":" + port
                    + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                    + "\"names\":\"" + HOST + ":" + directory.port + "\",\"known\":" + directory.known()
                    + ",\"settings\":" + SETTINGS + "}\n");
            Files.move(next, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        }

        /**
         * Starts in a folder with the same build and its own deploy/sip.toml, since the program reads that file from
         * its working folder.
         */
        void enableSip(String sipToml) throws IOException {
            workingFolder = Files.createTempDirectory(temporary, "root");
            Files.createSymbolicLink(workingFolder.resolve("target"), root.resolve("target"));
            Files.createDirectory(workingFolder.resolve("deploy"));
            for (String file : List.of("record.toml", "storm.toml")) {
                Files.copy(root.resolve("deploy").resolve(file), workingFolder.resolve("deploy").resolve(file));
            }
            Files.writeString(workingFolder.resolve("deploy/sip.toml"), sipToml);
        }

        void start() throws IOException {
            String run = deployCommand("run");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(workingFolder.toFile())
                    .redirectErrorStream(true);
            builder.environment().put("LB_NAME", name);
            builder.environment().put("LB_LISTEN", HOST + ":" + port);
            builder.environment().put("LB_CONFIG", config.toString());
            builder.environment().put("TMPDIR", Files.createTempDirectory(temporary, "tmp").toString());
            Process started = builder.start();
            process = started;
            note(name + " started, process " + started.pid() + ", listens at " + port);
            daemon(() -> {
                try (BufferedReader log = new BufferedReader(new InputStreamReader(started.getInputStream()))) {
                    for (String line = log.readLine(); line != null; line = log.readLine()) {
                        logLine(line);
                    }
                } catch (IOException e) {
                    // The process has ended.
                }
            });
        }

        private int logLines;

        private void logLine(String line) {
            // Connections and calls are in the record already; only a part of a long log is kept.
            if (++logLines <= 300 || line.contains("ERROR") || line.contains("OutOfMemory")) {
                note("   log of " + name + ": " + line);
            }
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        int exitCode() {
            return process.exitValue();
        }

        boolean waitForEnd(long millis) throws InterruptedException {
            return process.waitFor(millis, TimeUnit.MILLISECONDS);
        }

        void terminate() {
            note(name + " gets SIGTERM");
            process.destroy();
        }

        void reload() throws IOException, InterruptedException {
            note(name + " gets SIGHUP");
            new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + process.pid()).start().waitFor();
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
            }
        }

        private void awaitKilled() {
            try {
                if (process != null) {
                    process.waitFor(2, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Waits until the softswitch passes a test, as the front does before it admits one. */
        boolean awaitReady(long millis) {
            long until = System.nanoTime() + millis * 1_000_000;
            while (System.nanoTime() < until && alive()) {
                try (Caller caller = new Caller("front", this)) {
                    if (caller.test(1_000)) {
                        note(name + " passes the test");
                        return true;
                    }
                } catch (IOException e) {
                    // It does not listen yet.
                }
                sleep(100);
            }
            return false;
        }
    }

    private String deployCommand(String key) throws IOException {
        Matcher line = Pattern.compile("(?m)^" + key + "\\s*=\\s*\"(.*)\"\\s*$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("deploy/balancer.toml lacks " + key);
        }
        return line.group(1).replace("\\\"", "\"");
    }

    /** The settings of the wire page's example, with the report fields of the protocol page. */
    static final String SETTINGS = """
            {"accounts":[],"az":0,"balancers":4,"clients":{"marks-retry":true},"discovery":"automatic",
             "family":"trunks","family-info":{"class-width":[1,1,1],"far-reports":"piggyback","gives-wait":false,
              "holding":[10100000,15200000,7100000],"layout":"network","release":200000,"resend":0,
              "route-advice":false,"skilled-pools":[],"this-node":0},
             "goal":{"whole":0.55,"worst-class":0.3,"worst-tenant":0.0,"worst-window":0.15},
             "kinds":["std-1c"],"layer":0,
             "limits":{"connect-timeout":500000,"cpu-us-per-request":0.0,"cpu-us-per-s":300000,
              "idle-close":600000000,"max-attempts":6,"max-retry-after":2000000,"may-cancel":true,
              "may-duplicate":false,"most-held":20000,"peers":false,"probes":false,"retry-after":true,
              "streams-per-conn":1048576},
             "obligations":{"ask-within":10000000,"cold":14000000,"cold-share":0.3,"fall":1000000,
              "fall-multiple":2.0,"grace-to-answer":20000,"stop-sending-within":500000},
             "rank":0,"services":[
              {"aim":1500000,"deadline":9000000,"effect":"safe","group":"all","late-worth":0.25,
               "name":"catalogue-page","stream":true,"value":1.0,"window":5000000},
              {"aim":1500000,"deadline":9000000,"effect":"safe","group":"all","late-worth":0.1,
               "name":"token-balance","stream":true,"value":3.0,"window":5000000},
              {"aim":1500000,"deadline":9000000,"effect":"safe","group":"all","late-worth":0.25,
               "name":"item-detail","stream":true,"value":1.0,"window":5000000}],
             "telemetry":{"fields":["x0","x1","queue","qps"],"via":"piggyback"},"tick":5000,
             "tiers":["shop-nodes"],"weight-source":"silent","worth-by":"request",
             "zones":["montreal","quebec-city","saguenay"]}""";

    // The directory.

    /** One exchange in the directory's list. */
    record Listed(String uid, String zone, int place, int port, boolean draining, long startedMs) { }

    /** A directory: DNS over UDP, and over TCP at the same port for answers that were cut short. */
    final class Directory {
        final int port;
        private final DatagramSocket socket;
        private final ServerSocket tcp;
        private final Map<String, Listed> list = new LinkedHashMap<>();
        private int serial;
        private boolean silent;
        /** Sees the query of each list request over UDP; returns true if it has taken over the answer. */
        volatile ListQueryHook hook;

        interface ListQueryHook {
            boolean answer(byte[] query, InetSocketAddress from);
        }

        Directory() throws IOException {
            DatagramSocket udp = null;
            ServerSocket stream = null;
            for (int i = 0; stream == null; i++) {
                udp = new DatagramSocket(new InetSocketAddress(HOST, 0));
                try {
                    stream = new ServerSocket();
                    stream.bind(new InetSocketAddress(HOST, udp.getLocalPort()));
                } catch (IOException e) {
                    udp.close();
                    stream = null;
                    if (i > 20) {
                        throw e;
                    }
                }
            }
            socket = udp;
            tcp = stream;
            port = socket.getLocalPort();
            daemon(this::serve);
            daemon(this::serveTcp);
        }

        synchronized int put(Listed exchange) {
            list.put(exchange.uid(), exchange);
            serial++;
            note("directory: event " + serial + ", " + exchange.uid() + " is "
                    + (exchange.draining() ? "draining" : "up"));
            return serial;
        }

        synchronized int remove(String uid) {
            list.remove(uid);
            serial++;
            note("directory: event " + serial + ", " + uid + " is removed");
            return serial;
        }

        synchronized void setSilent(boolean value) {
            silent = value;
        }

        synchronized String known() {
            StringBuilder out = new StringBuilder("{\"rev\":" + serial + ",\"notices\":[{\"rev\":" + serial
                    + ",\"pool\":{\"rev\":" + serial + ",\"all\":true,\"targets\":[");
            String separator = "";
            for (Listed e : list.values()) {
                out.append(separator).append("{\"uid\":\"").append(e.uid()).append("\",\"endpoint\":\"").append(HOST)
                        .append(':').append(e.port()).append("\",\"az\":\"").append(e.zone())
                        .append("\",\"model\":\"std-1c\",\"pod_group\":").append(e.place()).append(",\"state\":\"")
                        .append(e.draining() ? "draining" : "up").append("\",\"capacity_hint\":1,\"boot_ms\":")
                        .append(e.startedMs()).append('}');
                separator = ",";
            }
            return out.append("]}}]}").toString();
        }

        private void serve() {
            byte[] buffer = new byte[65_535];
            while (true) {
                try {
                    DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                    socket.receive(packet);
                    byte[] query = java.util.Arrays.copyOf(buffer, packet.getLength());
                    InetSocketAddress from = (InetSocketAddress) packet.getSocketAddress();
                    boolean quiet;
                    synchronized (this) {
                        quiet = silent;
                    }
                    ListQueryHook present = hook;
                    if (!quiet && (present == null || !present.answer(query, from))) {
                        send(answer(query, Integer.MAX_VALUE), from);
                    }
                } catch (IOException e) {
                    note("directory: " + e);
                }
            }
        }

        private void serveTcp() {
            while (true) {
                try {
                    Socket connection = tcp.accept();
                    daemon(() -> {
                        try (connection) {
                            DataInputStream in = new DataInputStream(connection.getInputStream());
                            byte[] query = in.readNBytes(in.readUnsignedShort());
                            byte[] whole = answer(query, Integer.MAX_VALUE);
                            DataOutputStream out = new DataOutputStream(connection.getOutputStream());
                            out.writeShort(whole.length);
                            out.write(whole);
                            out.flush();
                            note("directory: whole answer over TCP, serial " + serial);
                            in.read();
                        } catch (IOException e) {
                            // The softswitch closed the connection.
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        }

        void send(byte[] message, InetSocketAddress to) {
            try {
                socket.send(new DatagramPacket(message, message.length, to));
            } catch (IOException e) {
                note("directory: " + e);
            }
        }

        /** Returns the length of the question section with the header. */
        private int questionEnd(byte[] query) {
            int at = 12;
            while (query[at] != 0) {
                at += 1 + query[at];
            }
            return at + 5;
        }

        /**
         * Answers a query from the present list. Beyond {@code limit} bytes the answer is cut after its last whole
         * record and marked as cut short (TC, RFC 1035 section 4.1.1).
         */
        synchronized byte[] answer(byte[] query, int limit) {
            int end = questionEnd(query);
            int type = (query[end - 4] & 0xff) << 8 | query[end - 3] & 0xff;
            String asked = name(query);
            List<byte[]> answers = new ArrayList<>();
            List<byte[]> authority = new ArrayList<>();
            List<byte[]> additional = new ArrayList<>();
            for (Listed e : list.values()) {
                String host = e.uid() + "." + e.zone() + ".hosts";
                byte[] address = recordOf(host, 1, new byte[] {127, 0, 0, 1});
                byte[] text = recordOf(host, 16, texts("kind=std-1c", "cell=" + e.place(), "started=" + e.startedMs()));
                if (type == 33) {
                    ByteArrayOutputStream srv = new ByteArrayOutputStream();
                    u16(srv, e.draining() ? 1 : 0);
                    u16(srv, 10);
                    u16(srv, e.port());
                    srv.writeBytes(encodeName(host));
                    answers.add(recordOf("_back._tcp.pool.lan", 33, srv.toByteArray()));
                    additional.add(address);
                    additional.add(text);
                } else if (host.equals(asked)) {
                    answers.add(type == 1 ? address : text);
                }
            }
            ByteArrayOutputStream soa = new ByteArrayOutputStream();
            soa.writeBytes(encodeName("ns.pool.lan"));
            soa.writeBytes(encodeName("admin.pool.lan"));
            u16(soa, serial >>> 16);
            u16(soa, serial & 0xffff);
            soa.writeBytes(new byte[16]);
            authority.add(recordOf("pool.lan", 6, soa.toByteArray()));
            // RFC 1035: the sections come in this order, so that a cut takes the additional records and the authority
            // section first. This list needs few records; the limit says how many bytes fit.
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int[] counts = new int[3];
            boolean cut = false;
            List<List<byte[]>> sections = List.of(answers, authority, additional);
            for (int s = 0; s < 3 && !cut; s++) {
                for (byte[] one : sections.get(s)) {
                    if (end + body.size() + one.length > limit) {
                        cut = true;
                        break;
                    }
                    body.writeBytes(one);
                    counts[s]++;
                }
            }
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(query[0]);
            out.write(query[1]);
            u16(out, 0x8400 | (cut ? 0x0200 : 0));
            u16(out, 1);
            u16(out, counts[0]);
            u16(out, counts[1]);
            u16(out, counts[2]);
            out.write(query, 12, end - 12);
            out.writeBytes(body.toByteArray());
            return out.toByteArray();
        }

        /** Returns the length of an answer that holds all service records of the list and nothing after them. */
        synchronized int lengthOfServiceRecords(byte[] query) {
            int length = questionEnd(query);
            for (Listed e : list.values()) {
                length += encodeName("_back._tcp.pool.lan").length + 10 + 6
                        + encodeName(e.uid() + "." + e.zone() + ".hosts").length;
            }
            return length;
        }

        synchronized int serial() {
            return serial;
        }

        private String name(byte[] query) {
            StringBuilder out = new StringBuilder();
            for (int at = 12; query[at] != 0; at += 1 + query[at]) {
                out.append(out.length() == 0 ? "" : ".")
                        .append(new String(query, at + 1, query[at], StandardCharsets.ISO_8859_1));
            }
            return out.toString().toLowerCase(Locale.ROOT);
        }

        boolean asksForList(byte[] query) {
            return name(query).equals("_back._tcp.pool.lan");
        }

        private byte[] recordOf(String name, int type, byte[] data) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.writeBytes(encodeName(name));
            u16(out, type);
            u16(out, 1);
            u16(out, 0);
            u16(out, 1);
            u16(out, data.length);
            out.writeBytes(data);
            return out.toByteArray();
        }

        private byte[] texts(String... texts) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (String text : texts) {
                out.write(text.length());
                out.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
            }
            return out.toByteArray();
        }

        private byte[] encodeName(String name) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (String label : name.split("\\.")) {
                out.write(label.length());
                out.writeBytes(label.getBytes(StandardCharsets.ISO_8859_1));
            }
            out.write(0);
            return out.toByteArray();
        }

        private void u16(ByteArrayOutputStream out, int value) {
            out.write(value >>> 8);
            out.write(value);
        }
    }

    // Exchanges.

    /** A SIP message as an exchange reads it. */
    record Sip(String first, Map<String, String> headers, String body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return first.startsWith("SIP/2.0") ? "" : first.substring(0, Math.max(0, first.indexOf(' ')));
        }

        String callId() {
            return header("Call-ID");
        }
    }

    /** What an exchange does with a set-up. */
    interface InviteHandler {
        void invite(Exchange exchange, Line line, Sip invite);
    }

    /** Hears which set-ups are given up. */
    interface CancelHandler {
        void cancelled(String call);
    }

    /** One connection to an exchange. */
    final class Line {
        final Socket socket;
        private final OutputStream out;

        /** What the exchange wrote and the network has not delivered yet; null without a delay. */
        private final BlockingQueue<Sent> underWay;

        /** A text on its way to the softswitch; null is the end of the connection. */
        private record Sent(String text, long arrivesAt) { }

        Line(Socket socket, long delayMillis) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
            this.underWay = delayMillis == 0 ? null : new LinkedBlockingQueue<>();
            this.delayNanos = delayMillis * 1_000_000;
            if (underWay != null) {
                daemon(this::deliver);
            }
        }

        private final long delayNanos;

        /** The network: delivers everything in order, each text after the one-way time. */
        private void deliver() {
            try {
                while (true) {
                    Sent next = underWay.take();
                    long left = next.arrivesAt() - System.nanoTime();
                    if (left > 0) {
                        TimeUnit.NANOSECONDS.sleep(left);
                    }
                    if (next.text() == null) {
                        socket.close();
                        return;
                    }
                    write(next.text());
                }
            } catch (InterruptedException | IOException e) {
                note("network: " + e);
            }
        }

        void send(String text) {
            if (underWay == null) {
                write(text);
            } else {
                underWay.add(new Sent(text, System.nanoTime() + delayNanos));
            }
        }

        /** Closes the connection after all that was sent on it. */
        void close() throws IOException {
            if (underWay == null) {
                socket.close();
            } else {
                underWay.add(new Sent(null, System.nanoTime() + delayNanos));
            }
        }

        private synchronized void write(String text) {
            try {
                out.write(text.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            } catch (IOException e) {
                note("network: " + text.lines().findFirst().orElse("") + " meets a closed connection");
            }
        }

        /** Answers a request; it brings back the headers that RFC 3261 wants copied from it. */
        void answer(Sip request, int status, String extraHeaders, String body) {
            StringBuilder text = new StringBuilder("SIP/2.0 " + status + " Answer\r\n");
            for (String name : List.of("Via", "From", "To", "Call-ID", "CSeq")) {
                text.append(name).append(": ").append(request.header(name)).append("\r\n");
            }
            send(text + extraHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }
    }

    /** An exchange: sends the state of its group first on every connection, answers set-ups, releases calls. */
    final class Exchange {
        final String name;
        final int place;
        final int port;
        final int circuits = 200;
        /** How long what it sends is under way. */
        volatile long oneWayMillis;
        volatile InviteHandler handler;
        volatile CancelHandler cancelHandler;
        /** Whether every set-up, answer and release is written to the record. */
        volatile boolean noteEach = true;
        final List<String> invites = new CopyOnWriteArrayList<>();
        final Map<String, Line> standing = new ConcurrentHashMap<>();
        final Map<String, Double> acked = new ConcurrentHashMap<>();
        /** Calls released while no connection was open, or since; repeated on the next connection. */
        private final Map<String, String> releases = new ConcurrentHashMap<>();
        private final List<Line> lines = new CopyOnWriteArrayList<>();
        private ServerSocket server;

        Exchange(String name, int place, InviteHandler handler) throws IOException {
            this.name = name;
            this.place = place;
            this.handler = handler;
            server = new ServerSocket();
            server.bind(new InetSocketAddress(HOST, 0));
            port = server.getLocalPort();
            daemon(() -> accept(server));
        }

        Listed listed(boolean draining) {
            return new Listed("s-" + name, "montreal", place, port, draining, 0);
        }

        int openLines() {
            return lines.size();
        }

        private void accept(ServerSocket from) {
            while (true) {
                try {
                    Socket socket = from.accept();
                    socket.setTcpNoDelay(true);
                    Line line = new Line(socket, oneWayMillis);
                    lines.add(line);
                    note("exchange " + name + ": connection from port " + socket.getPort());
                    line.send(gauges());
                    releases.forEach((call, bye) -> {
                        note("exchange " + name + ": release of " + call + " sent on the new connection");
                        line.send(bye);
                    });
                    releases.clear();
                    daemon(() -> read(line));
                } catch (IOException e) {
                    return;
                }
            }
        }

        String report() {
            return "x0:" + (circuits - standing.size()) + ";x1:" + circuits + ";queue:0;qps:500";
        }

        private String gauges() {
            return "NOTIFY sip:group@net SIP/2.0\r\nVia: SIP/2.0/TCP " + name + "\r\nCall-ID: group\r\nCSeq: 1 NOTIFY\r\n"
                    + "X-Gauges: " + report() + "\r\nContent-Length: 0\r\n\r\n";
        }

        private void read(Line line) {
            try (Socket socket = line.socket) {
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                for (Sip message = readSip(in); message != null; message = readSip(in)) {
                    handle(line, message);
                }
            } catch (IOException e) {
                // Reset.
            } catch (Unreadable e) {
                note("exchange " + name + ": cannot read a message (" + e.getMessage() + "), closes the connection");
            }
            lines.remove(line);
            note("exchange " + name + ": connection ended");
        }

        private void noteCall(String text) {
            if (noteEach) {
                note("exchange " + name + ": " + text);
            }
        }

        private void handle(Line line, Sip message) {
            switch (message.method()) {
                case "INVITE" -> {
                    invites.add(message.callId());
                    noteCall("INVITE for call " + message.callId() + ", " + message.first());
                    handler.invite(this, line, message);
                }
                case "ACK" -> acked.putIfAbsent(message.callId(), seconds());
                case "CANCEL" -> {
                    note("exchange " + name + ": CANCEL of " + message.callId());
                    CancelHandler present = cancelHandler;
                    if (present != null) {
                        present.cancelled(message.callId());
                    }
                    line.answer(message, 200, "", "");
                }
                case "BYE" -> {
                    noteCall("BYE of " + message.callId());
                    standing.remove(message.callId());
                    line.answer(message, 200, "", "");
                }
                default -> { }
            }
        }

        /** Answers a set-up: the call stands. */
        void establish(Line line, Sip invite, String description) {
            standing.put(invite.callId(), line);
            noteCall("200 for call " + invite.callId());
            line.answer(invite, 200, "X-Gauges: " + report() + "\r\n", description);
        }

        /**
         * Releases a standing call: on the connection of its set-up, otherwise on any open one, and on the next one
         * opened as well.
         */
        void release(String call, int cause) {
            Line line = standing.remove(call);
            String bye = "BYE sip:call@net SIP/2.0\r\nVia: SIP/2.0/TCP " + name + "\r\nCall-ID: " + call
                    + "\r\nCSeq: 1 BYE\r\nReason: Q.850;cause=" + cause + "\r\nX-Gauges: " + report()
                    + "\r\nContent-Length: 0\r\n\r\n";
            releases.put(call, bye);
            Line open = line != null && lines.contains(line) ? line : lines.stream().findFirst().orElse(null);
            noteCall("releases call " + call + " with cause " + cause
                    + (open == null ? ", no connection is open" : ""));
            if (open != null) {
                open.send(bye);
            }
        }
    }

    /** Ends the process of an exchange in good order: no new connections, and the open ones close after their data. */
    static void stop(Exchange exchange) throws IOException {
        exchange.server.close();
        for (Line line : exchange.lines) {
            line.close();
        }
    }

    static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1;

        Unreadable(String message) {
            super(message);
        }
    }

    /** Reads one SIP message; null at the end of the connection. */
    static Sip readSip(InputStream in) throws IOException, Unreadable {
        String first = line(in);
        while (first != null && first.isEmpty()) {
            first = line(in);
        }
        if (first == null) {
            return null;
        }
        if (!first.startsWith("SIP/2.0 ") && !first.endsWith(" SIP/2.0")) {
            throw new Unreadable(first);
        }
        Map<String, String> headers = new LinkedHashMap<>();
        int size = first.length();
        for (String line = line(in); line == null || !line.isEmpty(); line = line(in)) {
            if (line == null) {
                return null;
            }
            int colon = line.indexOf(':');
            size += line.length();
            if (colon < 1 || size > 16_384) {
                throw new Unreadable(line);
            }
            headers.putIfAbsent(line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        String length = headers.get("content-length");
        if (length == null || !length.matches("[0-9]{1,5}")) {
            throw new Unreadable("Content-Length " + length);
        }
        byte[] body = in.readNBytes(Integer.parseInt(length));
        return new Sip(first, headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    private static String line(InputStream in) throws IOException, Unreadable {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                String text = out.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            out.write(c);
            if (out.size() > 16_384) {
                throw new Unreadable("a line without an end");
            }
        }
        return null;
    }

    // Callers.

    /** One connection of callers. */
    final class Caller implements AutoCloseable {
        final String name;
        final Socket socket;
        private final OutputStream out;
        /** The lines about each call, in their order. */
        final Map<String, List<String>> lines = new ConcurrentHashMap<>();
        final Map<String, Double> heardAt = new ConcurrentHashMap<>();
        volatile boolean ended;
        volatile boolean quiet;
        volatile LineListener listener;

        interface LineListener {
            void heard(String call, String line);
        }

        Caller(String name, Softswitch softswitch) throws IOException {
            this.name = name;
            this.socket = new Socket();
            socket.connect(new InetSocketAddress(HOST, softswitch.port), 1_000);
            socket.setTcpNoDelay(true);
            this.out = socket.getOutputStream();
            daemon(this::read);
        }

        private void read() {
            try (BufferedReader in = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1))) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    String call = field(line, "call");
                    if (!quiet) {
                        note("caller " + name + " hears " + line);
                    }
                    heardAt.putIfAbsent(call, seconds());
                    lines.computeIfAbsent(call, c -> new CopyOnWriteArrayList<>()).add(line);
                    LineListener present = listener;
                    if (present != null) {
                        present.heard(call, line);
                    }
                }
            } catch (SocketException e) {
                // Closed.
            } catch (IOException e) {
                note("caller " + name + ": " + e);
            }
            ended = true;
        }

        synchronized void send(String line) throws IOException {
            if (!quiet) {
                note("caller " + name + " sends " + line);
            }
            out.write((line + "\n").getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void offer(String call, int destination, long leftMillis) throws IOException {
            send(offerLine(call, destination, Long.toString(leftMillis), "7f3a9c21e0b4d655", description(call), false));
        }

        boolean test(long millis) throws IOException {
            boolean before = quiet;
            quiet = true;
            String id = "7e57" + String.format("%012x", System.nanoTime() & 0xffffffffffffL);
            send("{\"op\":\"test\",\"call\":\"" + id + "\",\"with\":{},\"why\":0}");
            for (long i = 0; i < millis / 5 && !ended && !lines.containsKey(id); i++) {
                sleep(5);
            }
            quiet = before;
            return lines.containsKey(id) && lines.get(id).get(0).contains("\"why\":1");
        }

        boolean heard(String call, String text) {
            return lines.getOrDefault(call, List.of()).stream().anyMatch(line -> line.contains(text));
        }

        boolean awaitHeard(String call, String text, long millis) {
            long until = System.nanoTime() + millis * 1_000_000;
            while (System.nanoTime() < until) {
                if (heard(call, text)) {
                    return true;
                }
                sleep(2);
            }
            return heard(call, text);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                note("caller " + name + ": " + e);
            }
        }
    }

    static String description(String call) {
        return call + "\\r\\nc=IN IP4 127.0.0.1\\r\\nm=audio 31000 RTP/AVP 0 8 101\\r\\n";
    }

    static String offerLine(String call, int destination, String left, String key, String description,
            boolean transit) {
        return "{\"op\":\"offer\",\"call\":\"" + call + "\",\"with\":{\"class\":\"catalogue-page\",\"left\":\"" + left
                + "\",\"key\":\"" + key + "\",\"extras\":\"dest:" + destination + ";width:1;via:-1"
                + (transit ? ";transit:1" : "") + "\"},\"desc\":\"" + description + "\"}";
    }

    static String field(String line, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(line);
        return matcher.find() ? matcher.group(1) : "";
    }

    private static long nextCall = System.nanoTime();

    static synchronized String newCallId() {
        nextCall = nextCall * 6364136223846793005L + 1442695040888963407L;
        return String.format("%016x", nextCall);
    }
}
