import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Bad clients send hundreds of requests at once on connections that were opened by the hundred. */
final class Trial6 {
    /** Under a third of the 1,024 descriptors. */
    private static final int CONNECTIONS = 300;
    private static final int REQUESTS = 400;
    private static final int DESCRIPTION_BYTES = 1_000;
    private static final String STANDING = "9b1f03aa5c7e2d41";
    private static final String LATER = "9b1f03aa5c7e2d42";
    private static final int LEFT_MILLIS = 9_000;

    private Trial6() { }

    public static void main(String[] args) {
        Rig.main(args, Trial6::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Rig.Exchange exchange = rig.exchange("exchange", Rig.SOUND);
        List<Rig.Host> hosts = List.of(new Rig.Host("s-00000001", exchange.port(), 2, false));
        Rig.Directory directory = rig.directory(query -> Rig.DnsAnswer.whole(query, 1, hosts));
        int port = Rig.freePort();
        Rig.Node node = rig.start(rig.config("config.json", port, 1, directory.port(),
                List.of(new Rig.Listed("s-00000001", exchange.port(), 2))), port, "softswitch");
        rig.awaitReady(port);
        Rig.Caller good = rig.caller("good caller", port);
        good.offer(STANDING, 2, "7f3a9c21e0b4d655", LEFT_MILLIS, "", "v=0\\r\\n");
        if (!rig.await(5_000, () -> good.count("accept", STANDING) == 1)) {
            throw new Rig.CannotRun("the good caller's call does not stand");
        }
        if (rig.trouble) {
            flood(rig, port);
        }
        Rig.sleep(1_000);
        double offeredAt = rig.millis();
        try {
            good.offer(LATER, 2, "7f3a9c21e0b4d656", LEFT_MILLIS, "", "v=0\\r\\n");
        } catch (IOException e) {
            rig.note("good caller: " + e.getMessage());
        }
        // For the record alone: a request still unanswered when its time is up has failed and is not lost (LATER).
        rig.await(LEFT_MILLIS + 500, () -> good.ended || good.count("accept", LATER) + good.count("end", LATER) > 0);
        boolean answered = good.count("accept", LATER) + good.count("end", LATER) == 1;
        // A process out of memory ends by itself; it must not be counted as alive just before.
        boolean crashed = node.process.waitFor(1, TimeUnit.SECONDS);
        rig.note(String.format("the good caller's request of %.0f ms was answered: %s", offeredAt, answered));
        rig.note("the softswitch ended by itself: " + crashed
                + (crashed ? ", exit code " + node.process.exitValue() : ""));
        return !crashed;
    }

    private static void flood(Rig rig, int port) throws Exception {
        List<Socket> sockets = new ArrayList<>();
        AtomicLong received = new AtomicLong();
        for (int i = 0; i < CONNECTIONS; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            rig.own(socket);
            sockets.add(socket);
            thread(() -> {
                try {
                    InputStream in = socket.getInputStream();
                    byte[] buffer = new byte[4_096];
                    for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                        received.addAndGet(n);
                    }
                } catch (IOException e) {
                    return;
                }
            });
        }
        rig.note("bad clients opened " + CONNECTIONS + " connections");
        byte[] start = "{\"op\":\"offer\",\"call\":\"".getBytes(StandardCharsets.ISO_8859_1);
        byte[] rest = ("\",\"with\":{\"class\":\"catalogue-page\",\"left\":\"1500\",\"key\":\"7f3a9c21e0b4d655\","
                + "\"extras\":\"dest:2;width:1;via:-1\"},\"desc\":\"" + "x".repeat(DESCRIPTION_BYTES) + "\"}\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(CONNECTIONS);
        for (int i = 0; i < CONNECTIONS; i++) {
            int number = i;
            thread(() -> {
                try {
                    go.await();
                    OutputStream out = new BufferedOutputStream(sockets.get(number).getOutputStream(), 16_384);
                    for (int j = 0; j < REQUESTS; j++) {
                        out.write(start);
                        out.write(String.format("%08x%08x", number + 1, j).getBytes(StandardCharsets.ISO_8859_1));
                        out.write(rest);
                    }
                    out.flush();
                } catch (IOException | InterruptedException e) {
                    done.countDown();
                    return;
                }
                done.countDown();
            });
        }
        rig.note("bad clients send " + REQUESTS + " requests at once on each connection");
        go.countDown();
        done.await(20, TimeUnit.SECONDS);
        rig.note("bad clients have sent; unfinished: " + done.getCount() + "; bytes of answers so far: "
                + received.get());
    }

    private static void thread(Runnable task) {
        Thread thread = new Thread(null, task, "bad client", 256 << 10);
        thread.setDaemon(true);
        thread.start();
    }
}
