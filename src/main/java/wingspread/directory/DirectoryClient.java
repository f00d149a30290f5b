package wingspread.directory;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.control.CallControl.ListKind;
import wingspread.directory.DnsMessage.Question;
import wingspread.net.InvalidInputException;

/**
 * Queries the directory and applies its responses to the list of exchanges. The list is queried at a fixed interval,
 * regardless of the outcome of earlier queries. What a truncated response lacks is queried again over TCP (RFC 7766),
 * and hosts that a list names without their address or attributes are queried one by one. A fault in the responses is
 * logged once with a reason code, and its end is logged once. No query waits for the response to another, except that
 * one TCP query may be in progress for up to 1.1 s. A change is therefore reported well within 6 s of the directory
 * having it and being reachable.
 *
 * <p>Times are microseconds on the host's clock. Free of I/O; confined to the loop.
 */
final class DirectoryClient {
    /** Short enough that a lost datagram is made up for well within the 6 s in which a change must be reported. */
    static final long QUERY_INTERVAL_MICROS = 300_000;
    /** Time allowed for the connect and the response of a query over TCP, after which the next one may be sent. */
    static final long TCP_TIMEOUT_MICROS = 1_100_000;
    /** Minimum interval between two queries for one host, as responses to the first may still be in flight. */
    private static final long HOST_QUERY_INTERVAL_MICROS = 600_000;
    /**
     * Time for which a response is accepted. It is long, so that a slow directory is still usable; a late list cannot
     * replace a newer one, because each list carries a serial number.
     */
    private static final long RESPONSE_TIMEOUT_MICROS = 8_000_000;
    /**
     * Hosts queried after one response, with up to two queries each; the remaining ones follow after the next response.
     * Large enough that a thousand new hosts are resolved within the 6 s in which a change must be reported, even if a
     * tenth of the datagrams is lost.
     */
    private static final int MAX_HOSTS_PER_RESPONSE = 256;
    private static final int MAX_PENDING_QUERIES = 8_192;
    /** Consecutive list queries without a response after which the directory is logged as unresponsive. */
    private static final int MAX_UNANSWERED_QUERIES = 8;
    private static final Question LIST_QUESTION = new Question("_back._tcp.pool.lan", DnsMessage.SRV);
    private static final Logger LOG = LoggerFactory.getLogger(Directory.class);

    /** Sends queries to the directory. */
    interface Transport {
        /** Sends a query over UDP. */
        void send(byte[] query);

        /** Sends a query over a new TCP connection, which is closed after the response or after a time-out. */
        void sendOverTcp(byte[] query);
    }

    /**
     * A query that may still be answered.
     *
     * @param question the question for the list, or for the records of one type of a host
     * @param sentAt when the query was sent, in microseconds
     */
    private record PendingQuery(Question question, long sentAt) {
        boolean isForList() {
            return question == LIST_QUESTION;
        }

        /** Whether a response answers this query. One that repeats no question is matched by its id alone. */
        boolean isAnsweredBy(DnsMessage response) {
            return response.question() == null || question.sameAs(response.question());
        }
    }

    private final Roster roster;
    private final SplittableRandom random;
    private final Transport transport;
    private final BiConsumer<ListKind, List<DirectoryEntry>> listener;
    /** Queries that may still be answered, keyed by id, oldest first. */
    private final Map<Integer, PendingQuery> pendingQueries = new LinkedHashMap<>();
    /** When each host was last queried, oldest first; an entry is kept while the host may not be queried again. */
    private final Map<String, Long> hostQueryTimes = new LinkedHashMap<>();
    private long tcpBusyUntil = Long.MIN_VALUE;
    private int unansweredQueries;
    /** Reason code of the present fault in the responses; empty for none. */
    private String faultCode = "";

    DirectoryClient(Roster roster, SplittableRandom random, Transport transport,
            BiConsumer<ListKind, List<DirectoryEntry>> listener) {
        this.roster = roster;
        this.random = random;
        this.transport = transport;
        this.listener = listener;
    }

    /** Loads the cached list of exchanges from the configuration and reports it. */
    void loadCached(Map<?, ?> known) {
        CachedList cached = CachedList.parse(known);
        roster.loadCached(cached);
        cached.faults().forEach(fault -> LOG.error("cached exchange left out until the directory lists it: {}", fault));
        listener.accept(ListKind.CACHED, roster.entries());
    }

    /** Sends a query for the list. */
    void queryList(long now) {
        if (++unansweredQueries > MAX_UNANSWERED_QUERIES) {
            reportFault("SILENT", "no response to " + MAX_UNANSWERED_QUERIES + " queries");
        }
        transport.send(registerQuery(LIST_QUESTION, now));
    }

    /** Registers a query as pending and returns its message. */
    private byte[] registerQuery(Question question, long now) {
        Iterator<PendingQuery> oldest = pendingQueries.values().iterator();
        while (oldest.hasNext()) {
            if (oldest.next().sentAt() + RESPONSE_TIMEOUT_MICROS > now
                    && pendingQueries.size() < MAX_PENDING_QUERIES) {
                break;
            }
            oldest.remove();
        }
        int id = random.nextInt(1 << 16);
        while (pendingQueries.containsKey(id)) {
            id = random.nextInt(1 << 16);
        }
        pendingQueries.put(id, new PendingQuery(question, now));
        return DnsMessage.query(id, question.name(), question.type());
    }

    /**
     * Handles a message received over UDP or TCP. A message whose id or question is not that of a pending query is
     * ignored (RFC 5452, section 9.1).
     */
    void handleMessage(long now, byte[] bytes) {
        try {
            handleResponse(now, DnsMessage.parse(bytes));
        } catch (InvalidInputException e) {
            reportFault("BAD_INPUT", e.getMessage());
        }
    }

    /** Records that the data received over TCP was not a valid message. */
    void handleDecodeError(String detail) {
        reportFault("BAD_INPUT", detail);
    }

    private void handleResponse(long now, DnsMessage message) throws InvalidInputException {
        PendingQuery query = pendingQueries.get(message.id());
        if (query == null || !query.isAnsweredBy(message)) {
            return;
        }
        if (!query.isForList()) {
            pendingQueries.remove(message.id());
            handleHostResponse(now, query.question(), message);
            return;
        }
        unansweredQueries = 0;
        if (message.responseCode() != 0) {
            reportFault("REFUSED", "response code " + message.responseCode());
            return;
        }
        handleList(now, message);
    }

    private void handleHostResponse(long now, Question question, DnsMessage message) throws InvalidInputException {
        if (message.responseCode() != 0) {
            return;
        }
        roster.addHostRecords(question.name(), message);
        if (message.truncated() && roster.missingRecordTypes(question.name()).contains(question.type())) {
            queryOverTcp(question, now);
        }
    }

    /**
     * Applies a list. Exchanges missing from a complete list are removed; those missing from a truncated one are kept.
     */
    private void handleList(long now, DnsMessage message) throws InvalidInputException {
        long previousSerial = roster.serial();
        Roster.Update update = roster.applyResponse(message);
        if (roster.serial() != previousSerial) {
            dropOutdatedHostQueries(update);
        }
        for (DirectoryEntry change : update.changes()) {
            LOG.info("directory {}: exchange {} at {} is {}, started at {}, place={}", roster.serial(), change.uid(),
                    change.endpoint(), change.exchange().readiness(), change.exchange().upSince(),
                    change.exchange().place());
        }
        if (!update.changes().isEmpty()) {
            listener.accept(ListKind.DELTA, update.changes());
        }
        if (message.truncated()) {
            reportFault("TRUNCATED", message.records().size()
                    + " records; exchanges missing from them are kept unchanged");
            queryOverTcp(LIST_QUESTION, now);
            return;
        }
        if (update.incompleteHosts().isEmpty()) {
            reportFault("", "");
        } else {
            reportFault("LACKING", update.incompleteHosts().size()
                    + " hosts without address or attributes, for example "
                    + update.incompleteHosts().iterator().next());
        }
        queryHosts(update, now);
    }

    /**
     * Drops the queries for hosts sent before a new list, as their responses may be older than the list. Those for
     * exchanges that are still unknown are kept, since what they return has not been stated differently since.
     */
    private void dropOutdatedHostQueries(Roster.Update update) {
        pendingQueries.values().removeIf(query -> !query.isForList()
                && !update.incompleteHosts().contains(query.question().name()));
    }

    /** Queries the hosts that are awaited, those of unknown exchanges first. */
    private void queryHosts(Roster.Update update, long now) {
        hostQueryTimes.values().removeIf(sentAt -> sentAt + HOST_QUERY_INTERVAL_MICROS <= now);
        Stream.concat(update.incompleteHosts().stream(), update.outdatedHosts().stream())
                .filter(host -> !hostQueryTimes.containsKey(host))
                .limit(MAX_HOSTS_PER_RESPONSE).forEach(host -> queryHost(host, now));
    }

    private void queryHost(String host, long now) {
        hostQueryTimes.put(host, now);
        for (int type : roster.missingRecordTypes(host)) {
            transport.send(registerQuery(new Question(host, type), now));
        }
    }

    private void queryOverTcp(Question question, long now) {
        if (now >= tcpBusyUntil) {
            tcpBusyUntil = now + TCP_TIMEOUT_MICROS;
            transport.sendOverTcp(registerQuery(question, now));
        }
    }

    /** Logs the fault in the responses when its code changes; an empty code logs the end of the fault. */
    private void reportFault(String code, String detail) {
        if (!faultCode.equals(code)) {
            faultCode = code;
            if (code.isEmpty()) {
                LOG.info("directory responses are valid again");
            } else {
                LOG.warn("directory {}: responses are {} ({}); keeping the last list", roster.serial(), code, detail);
            }
        }
    }
}
