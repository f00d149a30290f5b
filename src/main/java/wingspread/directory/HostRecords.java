package wingspread.directory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wingspread.net.InvalidInputException;

/**
 * What the directory has stated about a host.
 *
 * @param address the IPv4 address; null while it is unknown
 * @param attributes the attributes; null while they are unknown
 */
record HostRecords(byte[] address, HostAttributes attributes) {
    /** The records of a host about which nothing has been stated. */
    static final HostRecords UNKNOWN = new HostRecords(null, null);

    /** Whether both the address and the attributes are known. */
    boolean isComplete() {
        return address != null && attributes != null;
    }

    /** Returns these records, with the other ones in place of those that are unknown. */
    HostRecords orElse(HostRecords other) {
        return new HostRecords(address != null ? address : other.address,
                attributes != null ? attributes : other.attributes);
    }

    /** Returns the types of the DNS records that are unknown. */
    List<Integer> missingTypes() {
        List<Integer> types = new ArrayList<>();
        if (address == null) {
            types.add(DnsMessage.A);
        }
        if (attributes == null) {
            types.add(DnsMessage.TXT);
        }
        return types;
    }

    /**
     * Returns the records of every host that a message has, keyed by host name. Attributes count only if the message
     * states all of them: they are never completed from another message, which may be older.
     *
     * @throws InvalidInputException if an attribute is malformed
     */
    static Map<String, HostRecords> collect(DnsMessage message) throws InvalidInputException {
        Map<String, byte[]> addresses = new HashMap<>();
        Map<String, Map<String, String>> texts = new HashMap<>();
        for (DnsMessage.Record record : message.records()) {
            if (record instanceof DnsMessage.Address address) {
                addresses.put(address.name(), address.bytes());
            } else if (record instanceof DnsMessage.Text text) {
                addAttributes(text.texts(), texts.computeIfAbsent(text.name(), name -> new HashMap<>()));
            }
        }
        Map<String, HostRecords> hosts = new HashMap<>();
        addresses.forEach((host, address) -> hosts.put(host, new HostRecords(address, null)));
        for (Map.Entry<String, Map<String, String>> text : texts.entrySet()) {
            hosts.put(text.getKey(),
                    new HostRecords(addresses.get(text.getKey()), HostAttributes.from(text.getValue())));
        }
        return hosts;
    }

    private static void addAttributes(List<String> texts, Map<String, String> attributes) {
        for (String text : texts) {
            int separator = text.indexOf('=');
            if (separator > 0) {
                attributes.put(text.substring(0, separator), text.substring(separator + 1));
            }
        }
    }
}
