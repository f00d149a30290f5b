import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The rig of the cases: starts the project's own program with the command of the deploy file, and has small stand-ins
 * for callers, exchanges and the directory, by the protocol page. Uses the JDK alone; every address is a loopback one.
 */
public final class Rig {
    /** Ends a case: what it throws becomes the exit code 2. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    /** The body of a case. */
    interface Case {
        /** Returns whether the rule held. */
        boolean run(Rig rig) throws Exception;
    }

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root;
    final Path folder;
    final Path temporary;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<AutoCloseable> resources = new CopyOnWriteArrayList<>();
    private final AtomicBoolean closed = new AtomicBoolean();

    private Rig(Path root, Path folder) throws IOException {
        this.root = root;
        this.folder = folder;
        this.temporary = Files.createTempDirectory("review-");
        this.record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        // Also where the script is ended from outside.
        Runtime.getRuntime().addShutdownHook(new Thread(this::closeAll));
    }

    static void main(String[] args, Case body) {
        int code = 2;
        Rig rig = null;
        try {
            rig = new Rig(Path.of(args[0]).toAbsolutePath().normalize(), Path.of(args[1]).toAbsolutePath().normalize());
            Rig watched = rig;
            Thread watchdog = new Thread(() -> {
                try {
                    Thread.sleep(110_000);
                } catch (InterruptedException e) {
                    return;
                }
                watched.note("the case did not end within 110 s");
                watched.closeAll();
                Runtime.getRuntime().halt(2);
            });
            watchdog.setDaemon(true);
            watchdog.start();
            rig.note("trouble " + (rig.trouble ? "on" : "off"));
            boolean held = body.run(rig);
            rig.note(held ? "RESULT: the rule held" : "RESULT: the rule was broken");
            code = held ? 0 : 1;
        } catch (CannotRun e) {
            rig.note("RESULT: could not run: " + e.getMessage());
        } catch (Exception e) {
            if (rig != null) {
                rig.note("RESULT: could not run: " + e);
            }
            e.printStackTrace();
        }
        if (rig != null) {
            rig.closeAll();
        }
        System.exit(code);
    }

    /** Writes a line to record.txt, with the milliseconds since the start of the case. */
    synchronized void note(String line) {
        record.printf("%8.1f %s%n", millis(), line);
    }

    double millis() {
        return (System.nanoTime() - startedAt) / 1e6;
    }

    <T extends AutoCloseable> T own(T resource) {
        resources.add(resource);
        return resource;
    }

    private void closeAll() {
        if (closed.getAndSet(true)) {
            return;
        }
        List<AutoCloseable> reversed = new ArrayList<>(resources);
        java.util.Collections.reverse(reversed);
        for (AutoCloseable resource : reversed) {
            try {
                resource.close();
            } catch (Exception e) {
                note("close: " + e);
            }
        }
        try (var files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            note("temporary folder: " + e);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis));
    }

    /** A condition that is awaited. */
    interface Condition {
        boolean holds() throws Exception;
    }

    boolean await(long millis, Condition condition) throws Exception {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < until) {
            if (condition.holds()) {
                return true;
            }
            Thread.sleep(5);
        }
        return condition.holds();
    }

    // The configuration and the program.

    /** The settings of a small mesh, with the figures of the operators' brief. */
    static String settings(int thisNode) {
        return """
                {"az":0,"balancers":4,"rank":0,"discovery":"automatic","zones":["east"],"kinds":["std"],
                 "family-info":{"layout":"network","this-node":%d,"release":200000,"class-width":[1,1],
                   "holding":[11000000,17000000]},
                 "limits":{"max-attempts":6,"may-cancel":true,"connect-timeout":500000,"retry-after":true,
                   "max-retry-after":2000000},
                 "obligations":{"stop-sending-within":500000,"cold":14000000,"cold-share":0.3,"fall":1000000,
                   "fall-multiple":2.0,"grace-to-answer":20000},
                 "services":[
                   {"name":"catalogue-page","aim":1500000,"deadline":9000000,"effect":"safe","group":"all","value":1.0},
                   {"name":"token-balance","aim":1500000,"deadline":9000000,"effect":"safe","group":"all","value":3.0}],
                 "telemetry":{"fields":["x0","x1","queue","qps"],"via":"piggyback"}}""".formatted(thisNode);
    }

    /** One exchange of the list of the start. */
    record Listed(String uid, int port, int cell) {
        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"east\",\"model\":\"std\","
                    + "\"pod_group\":" + cell + ",\"state\":\"up\",\"capacity_hint\":4,\"boot_ms\":0}";
        }
    }

    Path config(String fileName, int listenPort, int thisNode, int namesPort, List<Listed> exchanges)
            throws IOException {
        StringBuilder targets = new StringBuilder();
        exchanges.forEach(e -> targets.append(targets.isEmpty() ? "" : ",").append(e.json()));
        Path file = temporary.resolve(fileName);
        Files.writeString(file, "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + listenPort + "\","
                + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"names\":\"127.0.0.1:" + namesPort + "\",\"known\":{\"rev\":1,\"notices\":[{\"rev\":1,\"pool\":"
                + "{\"rev\":1,\"all\":true,\"targets\":[" + targets + "]}}]},\"settings\":" + settings(thisNode) + "}");
        return file;
    }

    /** Returns a command of deploy/balancer.toml. */
    private String deployCommand(String key) throws IOException, CannotRun {
        Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!matcher.find()) {
            throw new CannotRun("deploy/balancer.toml has no " + key);
        }
        return matcher.group(1);
    }

    /** One process of the program. */
    final class Node implements AutoCloseable {
        private static final int LOG_LINES = 60;
        final Process process;
        final Path log;

        Node(Path workFolder, Path config, int listenPort, String logName) throws IOException, CannotRun {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"));
            builder.directory(workFolder.toFile());
            builder.environment().put("LB_NAME", "n1");
            builder.environment().put("LB_LISTEN", "127.0.0.1:" + listenPort);
            builder.environment().put("LB_CONFIG", config.toString());
            Path own = Files.createDirectories(temporary.resolve("tmp-" + logName));
            builder.environment().put("TMPDIR", own.toString());
            log = temporary.resolve(logName + ".log");
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            process = builder.start();
            note("started the softswitch, process " + process.pid());
        }

        /** Waits until a caller can connect, without sending anything. */
        void awaitListening(int port) throws Exception {
            boolean listening = Rig.this.await(20_000, () -> {
                try {
                    new Socket(InetAddress.getLoopbackAddress(), port).close();
                    return true;
                } catch (IOException e) {
                    return false;
                }
            });
            if (!listening) {
                throw new CannotRun("the softswitch does not listen");
            }
        }

        void kill() throws InterruptedException {
            note("SIGKILL to process " + process.pid());
            process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        }

        void terminate() {
            note("SIGTERM to process " + process.pid());
            process.destroy();
        }

        @Override
        public void close() {
            if (process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(10, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            try {
                List<String> lines = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
                note("the log of process " + process.pid() + ", its last lines:");
                lines.subList(Math.max(0, lines.size() - LOG_LINES), lines.size()).forEach(line -> note("  " + line));
            } catch (IOException e) {
                note("log: " + e);
            }
        }
    }

    Node start(Path config, int listenPort, String logName) throws IOException, CannotRun {
        return own(new Node(root, config, listenPort, logName));
    }

    Node start(Path workFolder, Path config, int listenPort, String logName) throws IOException, CannotRun {
        return own(new Node(workFolder, config, listenPort, logName));
    }

    // Callers.

    /** A message to a caller. */
    record CallerMessage(String op, String call, int why, String line, double atMillis) { }

    /** A connection of a caller; it keeps all that it receives. */
    final class Caller implements AutoCloseable {
        final Socket socket;
        final String name;
        final List<CallerMessage> received = new CopyOnWriteArrayList<>();
        volatile boolean ended;

        Caller(String name, int port) throws IOException {
            this.name = name;
            this.socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setTcpNoDelay(true);
            note(name + " connected");
            Thread reader = new Thread(this::read, name);
            reader.setDaemon(true);
            reader.start();
        }

        private void read() {
            try (InputStream in = new BufferedInputStream(socket.getInputStream())) {
                ByteArrayOutputStream line = new ByteArrayOutputStream();
                for (int b = in.read(); b >= 0; b = in.read()) {
                    if (b != '\n') {
                        line.write(b);
                        continue;
                    }
                    String text = line.toString(StandardCharsets.ISO_8859_1);
                    line.reset();
                    note(name + " received " + text);
                    String why = field(text, "\"why\":([0-9]+)");
                    received.add(new CallerMessage(field(text, "\"op\":\"([a-z]+)\""),
                            field(text, "\"call\":\"([^\"]*)\""), why.isEmpty() ? -1 : Integer.parseInt(why), text,
                            millis()));
                }
            } catch (IOException e) {
                note(name + " read: " + e.getMessage());
            }
            ended = true;
            note(name + ": the connection has ended");
        }

        private static String field(String text, String pattern) {
            Matcher matcher = Pattern.compile(pattern).matcher(text);
            return matcher.find() ? matcher.group(1) : "";
        }

        void send(String line) throws IOException {
            note(name + " sent " + line.strip());
            socket.getOutputStream().write(line.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }

        void offer(String call, int dest, String key, int leftMillis, String moreExtras, String desc)
                throws IOException {
            send("{\"op\":\"offer\",\"call\":\"" + call + "\",\"with\":{\"class\":\"catalogue-page\",\"left\":\""
                    + leftMillis + "\",\"key\":\"" + key + "\",\"extras\":\"dest:" + dest + ";width:1;via:-1"
                    + moreExtras + "\"},\"desc\":\"" + desc + "\"}\n");
        }

        boolean test() throws Exception {
            int before = count("tested", "");
            send("{\"op\":\"test\",\"call\":\"0000000000000001\",\"with\":{},\"why\":0}\n");
            Rig.this.await(1_000, () -> count("tested", "") > before);
            return received.stream().filter(m -> m.op().equals("tested")).skip(before).anyMatch(m -> m.why() == 1);
        }

        int count(String op, String call) {
            return (int) received.stream().filter(m -> m.op().equals(op) && (call.isEmpty() || m.call().equals(call)))
                    .count();
        }

        CallerMessage first(String op, String call) {
            return received.stream().filter(m -> m.op().equals(op) && m.call().equals(call)).findFirst().orElse(null);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    Caller caller(String name, int port) throws IOException {
        return own(new Caller(name, port));
    }

    /** Waits until the softswitch passes a test, on connections of its own. */
    void awaitReady(int port) throws Exception {
        boolean ready = await(20_000, () -> {
            try (Caller tester = new Caller("front", port)) {
                return tester.test();
            } catch (IOException e) {
                Thread.sleep(50);
                return false;
            }
        });
        if (!ready) {
            throw new CannotRun("the softswitch passes no test");
        }
    }

    // SIP messages.

    /** A SIP message with its time of arrival. */
    record Sip(String startLine, Map<String, String> headers, byte[] body, double atMillis) {
        boolean isRequest() {
            return !startLine.startsWith("SIP/2.0 ");
        }

        String method() {
            return isRequest() ? startLine.substring(0, Math.max(0, startLine.indexOf(' '))) : "";
        }

        int status() {
            return isRequest() ? 0 : Integer.parseInt(startLine.substring(8, 11));
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        String callId() {
            return header("Call-ID");
        }

        String cseqMethod() {
            String value = header("CSeq");
            return value.substring(value.lastIndexOf(' ') + 1);
        }

        /** Returns a response with the headers that identify this request. */
        String reply(int status, String phrase, String more, String body) {
            StringBuilder out = new StringBuilder("SIP/2.0 " + status + " " + phrase + "\r\n");
            for (String name : List.of("Via", "From", "To", "Call-ID", "CSeq")) {
                if (!header(name).isEmpty()) {
                    out.append(name).append(": ").append(header(name)).append("\r\n");
                }
            }
            return out + more + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
    }

    static Sip parseSip(String head, byte[] body, double atMillis) {
        String[] lines = head.split("\r\n");
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon > 0) {
                headers.putIfAbsent(lines[i].substring(0, colon).strip().toLowerCase(),
                        lines[i].substring(colon + 1).strip());
            }
        }
        return new Sip(lines[0], headers, body, atMillis);
    }

    // Exchanges.

    /** What an exchange does with a request other than an ACK. */
    interface Behaviour {
        void handle(Exchange exchange, Exchange.Connection connection, Sip request) throws Exception;
    }

    /** Answers set-ups at once, and hears releases. */
    static final Behaviour SOUND = (exchange, connection, request) -> {
        switch (request.method()) {
            case "INVITE" -> {
                exchange.standing.add(request.callId());
                connection.send(request.reply(200, "OK", "X-Gauges: " + exchange.gauges() + "\r\n",
                        "answer of " + exchange.name + " to " + request.callId() + "\r\n"));
            }
            case "BYE" -> {
                exchange.standing.remove(request.callId());
                connection.send(request.reply(200, "OK", "", ""));
            }
            default -> { }
        }
    };

    /** An exchange by the protocol page: it sends the state of its group first on each connection. */
    final class Exchange implements AutoCloseable {
        private static final int CIRCUITS = 140;
        final String name;
        final List<Sip> received = new CopyOnWriteArrayList<>();
        final List<Connection> connections = new CopyOnWriteArrayList<>();
        /** The releases that are repeated on the next connection opened. */
        final List<String> releasesForNextConnection = new CopyOnWriteArrayList<>();
        final List<String> standing = new CopyOnWriteArrayList<>();
        private final ServerSocket listener;
        private final Behaviour behaviour;

        Exchange(String name, Behaviour behaviour) throws IOException {
            this.name = name;
            this.behaviour = behaviour;
            this.listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
            Thread acceptor = new Thread(this::accept, name);
            acceptor.setDaemon(true);
            acceptor.start();
        }

        int port() {
            return listener.getLocalPort();
        }

        private volatile boolean hanging;

        /** Stops or resumes all work: reading, answering, and the first message on a connection. */
        void hang(boolean on) {
            hanging = on;
        }

        private void awaitWork() throws InterruptedException {
            while (hanging) {
                Thread.sleep(2);
            }
        }

        String gauges() {
            return "x0:" + Math.max(0, CIRCUITS - standing.size()) + ";x1:" + CIRCUITS + ";queue:0;qps:100";
        }

        private void accept() {
            try {
                while (true) {
                    Connection connection = new Connection(listener.accept());
                    connections.add(connection);
                    Thread reader = new Thread(connection::read, name);
                    reader.setDaemon(true);
                    reader.start();
                }
            } catch (IOException e) {
                return;
            }
        }

        Connection open() {
            return connections.stream().filter(c -> !c.closed).reduce((a, b) -> b).orElse(null);
        }

        long count(String method) {
            return received.stream().filter(m -> m.method().equals(method)).count();
        }

        long count(String method, String call) {
            return received.stream().filter(m -> m.method().equals(method) && m.callId().equals(call)).count();
        }

        static String bye(String call, int cause) {
            return "BYE sip:call@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + call + "\r\nCSeq: 2 BYE\r\n"
                    + "Reason: Q.850;cause=" + cause + "\r\nContent-Length: 0\r\n\r\n";
        }

        /** Ends a standing call: on an open connection if there is one, and on the next one opened as well. */
        void release(String call, int cause) throws IOException {
            standing.remove(call);
            releasesForNextConnection.add(bye(call, cause));
            Connection connection = open();
            if (connection != null) {
                connection.send(bye(call, cause));
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Connection connection : connections) {
                connection.socket.close();
            }
        }

        /** One connection from the softswitch. */
        final class Connection {
            final Socket socket;
            volatile boolean closed;

            Connection(Socket socket) {
                this.socket = socket;
            }

            synchronized void send(String message) throws IOException {
                note(name + " sent " + message.substring(0, message.indexOf('\r')) + callIn(message));
                OutputStream out = socket.getOutputStream();
                out.write(message.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }

            private static String callIn(String message) {
                Matcher matcher = Pattern.compile("Call-ID: (\\S+)").matcher(message);
                return matcher.find() ? " call " + matcher.group(1) : "";
            }

            void read() {
                try (InputStream in = new BufferedInputStream(socket.getInputStream())) {
                    socket.setTcpNoDelay(true);
                    awaitWork();
                    send("NOTIFY sip:group@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: group\r\nCSeq: 1 NOTIFY\r\n"
                            + "X-Gauges: " + gauges() + "\r\nContent-Length: 0\r\n\r\n");
                    for (String release : List.copyOf(releasesForNextConnection)) {
                        releasesForNextConnection.remove(release);
                        send(release);
                    }
                    for (Sip message = next(in); message != null; message = next(in)) {
                        awaitWork();
                        received.add(message);
                        note(name + " received " + message.startLine() + " call " + message.callId());
                        if (message.isRequest() && !message.method().equals("ACK")) {
                            behaviour.handle(Exchange.this, this, message);
                        }
                    }
                } catch (Exception e) {
                    note(name + " read: " + e.getMessage());
                }
                closed = true;
                try {
                    socket.close();
                } catch (IOException e) {
                    note(name + " close: " + e.getMessage());
                }
            }

            private Sip next(InputStream in) throws IOException {
                StringBuilder head = new StringBuilder();
                while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
                    int b = in.read();
                    if (b < 0) {
                        return null;
                    }
                    if (head.length() == 0 && (b == '\r' || b == '\n')) {
                        continue;
                    }
                    head.append((char) b);
                    if (head.length() > 16_384) {
                        throw new IOException("a message over 16 KiB");
                    }
                }
                Sip message = parseSip(head.toString(), new byte[0], 0);
                if (!message.startLine().startsWith("SIP/2.0 ") && !message.startLine().endsWith(" SIP/2.0")) {
                    throw new IOException("cannot read '" + message.startLine() + "'");
                }
                int length = Integer.parseInt(message.header("Content-Length"));
                byte[] body = in.readNBytes(length);
                return new Sip(message.startLine(), message.headers(), body, millis());
            }
        }
    }

    Exchange exchange(String name, Behaviour behaviour) throws IOException {
        return own(new Exchange(name, behaviour));
    }

    // The directory.

    /** One exchange as the directory lists it. */
    record Host(String uid, int port, int cell, boolean draining) { }

    /** How the directory answers one query. */
    interface Answers {
        /** Returns the answer, or null for none. */
        byte[] answer(Query query);
    }

    /** A query for records of a type under a name. */
    record Query(byte[] bytes, String name, int type) { }

    /** The directory: DNS over UDP. */
    final class Directory implements AutoCloseable {
        private final DatagramSocket socket;
        volatile Answers answers;

        Directory(Answers answers) throws IOException {
            this.answers = answers;
            this.socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Thread server = new Thread(this::serve, "directory");
            server.setDaemon(true);
            server.start();
        }

        int port() {
            return socket.getLocalPort();
        }

        private void serve() {
            byte[] buffer = new byte[2048];
            try {
                while (true) {
                    DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                    socket.receive(packet);
                    Query query = parse(java.util.Arrays.copyOf(buffer, packet.getLength()));
                    byte[] answer = answers.answer(query);
                    if (answer != null) {
                        socket.send(new DatagramPacket(answer, answer.length, packet.getSocketAddress()));
                    }
                }
            } catch (IOException e) {
                return;
            }
        }

        private static Query parse(byte[] bytes) {
            StringBuilder name = new StringBuilder();
            int position = 12;
            while (bytes[position] != 0) {
                int length = bytes[position++];
                name.append(name.isEmpty() ? "" : ".").append(new String(bytes, position, length,
                        StandardCharsets.US_ASCII));
                position += length;
            }
            return new Query(bytes, name.toString(), (bytes[position + 1] & 0xff) << 8 | bytes[position + 2] & 0xff);
        }

        @Override
        public void close() {
            socket.close();
        }
    }

    Directory directory(Answers answers) throws IOException {
        return own(new Directory(answers));
    }

    /** Builds an answer of the directory. */
    static final class DnsAnswer {
        static final int A = 1;
        static final int TXT = 16;
        static final int SRV = 33;
        private static final String SERVICE = "_back._tcp.pool.lan";
        private final Query query;
        private final ByteArrayOutputStream records = new ByteArrayOutputStream();
        private int answers;
        private int authorities;
        private int additional;
        private boolean cut;

        DnsAnswer(Query query) {
            this.query = query;
        }

        /** Returns the whole answer to a query, as the directory gives it when nothing is wrong. */
        static byte[] whole(Query query, long serial, List<Host> hosts) {
            DnsAnswer out = new DnsAnswer(query);
            if (query.type() == SRV) {
                hosts.forEach(out::srv);
                out.soa(serial);
                hosts.forEach(host -> {
                    out.address(host, false);
                    out.text(host, false);
                });
                return out.bytes();
            }
            for (Host host : hosts) {
                if (name(host).equals(query.name()) && query.type() == A) {
                    out.address(host, true);
                } else if (name(host).equals(query.name()) && query.type() == TXT) {
                    out.text(host, true);
                }
            }
            return out.bytes();
        }

        /**
         * Returns the answer cut short behind its authority section: without the additional records, which alone does
         * not set the TC bit (RFC 2181, section 9). A host's address and text can then be asked for by its name.
         */
        static byte[] withoutAdditional(Query query, long serial, List<Host> hosts) {
            if (query.type() != SRV) {
                return whole(query, serial, hosts);
            }
            DnsAnswer out = new DnsAnswer(query);
            hosts.forEach(out::srv);
            return out.soa(serial).bytes();
        }

        static String name(Host host) {
            return host.uid() + ".east.hosts";
        }

        DnsAnswer srv(Host host) {
            ByteArrayOutputStream data = new ByteArrayOutputStream();
            u16(data, host.draining() ? 1 : 0);
            u16(data, 40);
            u16(data, host.port());
            encodeName(data, name(host));
            add(SERVICE, SRV, data);
            answers++;
            return this;
        }

        DnsAnswer address(Host host, boolean asAnswer) {
            ByteArrayOutputStream data = new ByteArrayOutputStream();
            data.writeBytes(new byte[] {127, 0, 0, 1});
            add(name(host), A, data);
            count(asAnswer);
            return this;
        }

        DnsAnswer text(Host host, boolean asAnswer) {
            ByteArrayOutputStream data = new ByteArrayOutputStream();
            for (String text : List.of("kind=std", "cell=" + host.cell(), "started=0")) {
                data.write(text.length());
                data.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
            }
            add(name(host), TXT, data);
            count(asAnswer);
            return this;
        }

        private void count(boolean asAnswer) {
            if (asAnswer) {
                answers++;
            } else {
                additional++;
            }
        }

        DnsAnswer soa(long serial) {
            ByteArrayOutputStream data = new ByteArrayOutputStream();
            encodeName(data, "ns.pool.lan");
            encodeName(data, "admin.pool.lan");
            for (long value : new long[] {serial, 60, 60, 60, 0}) {
                u16(data, (int) (value >> 16));
                u16(data, (int) value & 0xffff);
            }
            add("pool.lan", 6, data);
            authorities++;
            return this;
        }

        /** Marks the answer as cut short (RFC 1035, TC): records are missing. */
        DnsAnswer cutShort() {
            cut = true;
            return this;
        }

        byte[] bytes() {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(query.bytes()[0]);
            out.write(query.bytes()[1]);
            u16(out, 0x8400 | (cut ? 0x0200 : 0));
            u16(out, 1);
            u16(out, answers);
            u16(out, authorities);
            u16(out, additional);
            encodeName(out, query.name());
            u16(out, query.type());
            u16(out, 1);
            out.writeBytes(records.toByteArray());
            return out.toByteArray();
        }

        private void add(String name, int type, ByteArrayOutputStream data) {
            encodeName(records, name);
            u16(records, type);
            u16(records, 1);
            u16(records, 0);
            u16(records, 1);
            u16(records, data.size());
            records.writeBytes(data.toByteArray());
        }

        private static void u16(ByteArrayOutputStream out, int value) {
            out.write(value >> 8);
            out.write(value);
        }

        private static void encodeName(ByteArrayOutputStream out, String name) {
            for (String label : name.split("\\.")) {
                out.write(label.length());
                out.writeBytes(label.getBytes(StandardCharsets.US_ASCII));
            }
            out.write(0);
        }
    }
}
