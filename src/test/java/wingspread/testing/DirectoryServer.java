package wingspread.testing;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.Arrays;
import java.util.List;
import wingspread.testbed.NameServer;
import wingspread.testbed.NameServer.ListedExchange;

/** A directory for one softswitch of a test. It answers each query over UDP with the present list of exchanges. */
public final class DirectoryServer implements Closeable {
    private static final int MAX_BYTES = 8_000;
    private static final int FIRST_SERIAL = 1_000;

    private final DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
    private List<ListedExchange> list;
    private int serial = FIRST_SERIAL;
    /** Queries answered since the list was changed. */
    private int answers;

    /** Answers from now on with this list. */
    public DirectoryServer(List<ListedExchange> list) throws IOException {
        this.list = list;
        Thread thread = new Thread(this::answerQueries, "directory server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the address to be configured as that of the directory. */
    public String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /**
     * Changes the list and waits until it has been sent twice, after which the softswitch has applied it: it sends each
     * query on the loop that handles the answers.
     */
    public synchronized void publish(List<ListedExchange> newList) throws InterruptedException {
        list = newList;
        serial++;
        answers = 0;
        while (answers < 2) {
            wait();
        }
    }

    private void answerQueries() {
        DatagramPacket packet = new DatagramPacket(new byte[MAX_BYTES], MAX_BYTES);
        try {
            while (true) {
                packet.setData(new byte[MAX_BYTES]);
                socket.receive(packet);
                answer(packet);
            }
        } catch (IOException e) {
            // The socket is closed at the end of the test.
            return;
        }
    }

    private synchronized void answer(DatagramPacket query) throws IOException {
        byte[] question = Arrays.copyOf(query.getData(), query.getLength());
        byte[] answer = NameServer.answer(question, serial, list, MAX_BYTES);
        socket.send(new DatagramPacket(answer, answer.length, query.getSocketAddress()));
        answers++;
        notifyAll();
    }

    @Override
    public void close() {
        socket.close();
    }
}
