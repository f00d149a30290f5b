package wingspread.directory;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.control.CallControl.ListKind;
import wingspread.net.BadInput;

/**
 * What is asked of the directory and when, and what its answers change. The list is asked for at a fixed pace whatever
 * becomes of the questions before; an answer that is cut short is asked for again over TCP (RFC 7766); hosts that an
 * answer names without their address or facts are asked for one by one. What is wrong with the answers is logged once
 * with a reason code, and once that it is over. No question waits for another and none is waited for longer than a
 * second, so that a change is told well within 6 s of the directory having it and being reachable.
 *
 * <p>Times are microseconds on the host's clock. Free of I/O; confined to the loop.
 */
final class DirectoryClient {
    /** Asked so often that a lost datagram is made up for well within the time in which news counts as told. */
    static final long ASK_EVERY = 300_000;
    /** A question over TCP has so long for its connect and its answer; then the next one may be asked. */
    static final long TCP_TAKES = 1_100_000;
    /** A host is not asked for again sooner: its answers may be on their way. */
    private static final long ASK_HOST_EVERY = 600_000;
    /** Answers are taken for so long: a slow directory must be heard, and its list is dated by its serial number. */
    private static final long ANSWERS_TAKEN = 8_000_000;
    /**
     * Hosts asked for with one answer, two questions each; the others' turn comes with the next. So many that a
     * thousand new ones are learnt within the time in which news counts as told, though a tenth of the datagrams is
     * lost.
     */
    private static final int MOST_HOSTS = 256;
    private static final int MOST_QUESTIONS = 8_192;
    /** Questions in a row without an answer, after which the log says so. */
    private static final int SILENT_AFTER = 8;
    private static final String SERVICE = "_back._tcp.pool.lan";
    private static final Logger LOG = LoggerFactory.getLogger(Directory.class);

    /** The way to the directory. */
    interface Transport {
        /** Sends a question over UDP. */
        void send(byte[] question);

        /** Sends a question over a TCP connection of its own, which ends with its answer or after a while. */
        void sendOverTcp(byte[] question);
    }

    /** A question that may still be answered; {@code host} is null where it is for the list. */
    private record Question(String host, long askedAt) { }

    private final Roster roster;
    private final SplittableRandom random;
    private final Transport transport;
    private final BiConsumer<ListKind, List<Listing>> told;
    /** By id, oldest first. */
    private final Map<Integer, Question> questions = new LinkedHashMap<>();
    /** When each host was asked for last, oldest first; as long as it may not be asked again. */
    private final Map<String, Long> hostsAsked = new LinkedHashMap<>();
    private long tcpUntil = Long.MIN_VALUE;
    private int unanswered;
    /** What is wrong with the answers now; empty for nothing. */
    private String fault = "";

    DirectoryClient(Roster roster, SplittableRandom random, Transport transport,
            BiConsumer<ListKind, List<Listing>> told) {
        this.roster = roster;
        this.random = random;
        this.transport = transport;
        this.told = told;
    }

    /** Takes the events of the start, as the configuration keeps them. */
    void known(Map<?, ?> known) {
        roster.known(known);
        told.accept(ListKind.CACHED, roster.present());
    }

    /** Asks for the list. */
    void ask(long now) {
        if (++unanswered > SILENT_AFTER) {
            fault("SILENT", "no answer to " + SILENT_AFTER + " questions");
        }
        transport.send(DnsMessage.query(newQuestion(null, now), SERVICE, DnsMessage.SRV));
    }

    private int newQuestion(String host, long now) {
        Iterator<Question> oldest = questions.values().iterator();
        while (oldest.hasNext()) {
            if (oldest.next().askedAt() + ANSWERS_TAKEN > now && questions.size() < MOST_QUESTIONS) {
                break;
            }
            oldest.remove();
        }
        int id = random.nextInt(1 << 16);
        while (questions.containsKey(id)) {
            id = random.nextInt(1 << 16);
        }
        questions.put(id, new Question(host, now));
        return id;
    }

    /** Takes what came over either way; what is no answer to a question of ours is left alone. */
    void heard(long now, byte[] bytes) {
        try {
            answer(now, DnsMessage.parse(bytes));
        } catch (BadInput e) {
            fault("BAD_INPUT", e.getMessage());
        }
    }

    /** What came over TCP was no message. */
    void unreadable(String what) {
        fault("BAD_INPUT", what);
    }

    private void answer(long now, DnsMessage message) throws BadInput {
        Question question = questions.get(message.id());
        if (question == null) {
            return;
        }
        if (question.host() != null) {
            questions.remove(message.id());
            learn(question.host(), message);
            return;
        }
        unanswered = 0;
        if (message.code() != 0) {
            fault("REFUSED", "response code " + message.code());
            return;
        }
        list(now, message);
    }

    private void learn(String host, DnsMessage message) {
        if (message.code() != 0) {
            return;
        }
        roster.learn(host, message);
        if (message.question() == DnsMessage.TXT) {
            roster.learnNoFacts(host);
        }
    }

    /** Takes a list: what is not in the whole list has gone, what is not in a part of it has not. */
    private void list(long now, DnsMessage message) throws BadInput {
        Roster.Reading reading = roster.read(message);
        for (Listing change : reading.changes()) {
            LOG.info("directory {}: {} at {} is {}, started {}", roster.serial(), change.uid(), change.endpoint(),
                    change.exchange().readiness(), change.exchange().upSince());
        }
        if (!reading.changes().isEmpty()) {
            told.accept(ListKind.DELTA, reading.changes());
        }
        if (message.truncated()) {
            fault("TRUNCATED", message.records().size() + " records; what they lack is taken to be as it was");
            askWhole(now);
        } else if (!reading.lacking().isEmpty()) {
            fault("LACKING", reading.lacking().size() + " hosts without address or facts, as "
                    + reading.lacking().iterator().next());
            hostsAsked.values().removeIf(askedAt -> askedAt + ASK_HOST_EVERY <= now);
            reading.lacking().stream().filter(host -> !hostsAsked.containsKey(host)).limit(MOST_HOSTS)
                    .forEach(host -> askHost(host, now));
        } else {
            fault("", "");
        }
    }

    private void askHost(String host, long now) {
        hostsAsked.put(host, now);
        for (int type : roster.missing(host)) {
            transport.send(DnsMessage.query(newQuestion(host, now), host, type));
        }
    }

    private void askWhole(long now) {
        if (now >= tcpUntil) {
            tcpUntil = now + TCP_TAKES;
            transport.sendOverTcp(DnsMessage.query(newQuestion(null, now), SERVICE, DnsMessage.SRV));
        }
    }

    /** Logs what is wrong when that changes. */
    private void fault(String code, String what) {
        if (!fault.equals(code)) {
            fault = code;
            if (code.isEmpty()) {
                LOG.info("the directory answers in good order again");
            } else {
                LOG.warn("directory {}: the answers are {} ({}); the last list stays", roster.serial(), code, what);
            }
        }
    }
}
