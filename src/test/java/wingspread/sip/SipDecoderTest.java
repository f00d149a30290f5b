package wingspread.sip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wingspread.net.CloseReason;
import wingspread.net.FrameDecoder;
import wingspread.net.InvalidInputException;
import wingspread.net.MessageHandler;
import wingspread.testing.Fuzz;

class SipDecoderTest {
    private static final byte[] BODY = {'v', '=', '0', '\r', '\n', '\r', '\n', 0, (byte) 0xff};
    private static final byte[] INVITE = bytes(SipMessage.request("INVITE", "sip:7f3a@net")
            .with("Via", "SIP/2.0/TCP peer;branch=z9hG4bK1, SIP/2.0/UDP far").with("i", "9b1f").with("CSeq", "1 INVITE")
            .withBody(BODY));
    private static final byte[] RESPONSE = bytes(SipMessage.response(503, "Service Unavailable").with("Call-ID", "9b1f")
            .with("CSeq", "1 INVITE").with("X-Outcome", "swamped"));
    private final SipDecoder decoder = new SipDecoder();

    private static byte[] bytes(SipMessage message) {
        byte[] out = new byte[message.encode().readableBytes()];
        message.encode().readBytes(out);
        return out;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Property(tries = 300, seed = "11")
    void decodesStreamRegardlessOfItsChunks(@ForAll long seed) throws InvalidInputException {
        byte[] stream = new byte[INVITE.length + 2 + RESPONSE.length];
        System.arraycopy(INVITE, 0, stream, 0, INVITE.length);
        stream[INVITE.length] = '\r';
        stream[INVITE.length + 1] = '\n';
        System.arraycopy(RESPONSE, 0, stream, INVITE.length + 2, RESPONSE.length);
        List<SipMessage> read = Fuzz.decodeInChunks(decoder, stream, seed);
        assertEquals(2, read.size());
        assertArrayEquals(BODY, read.get(0).body());
        assertEquals("9b1f", read.get(0).callId());
        assertEquals("SIP/2.0/TCP peer;branch=z9hG4bK1", read.get(0).header("Via"));
        assertEquals(503, read.get(1).status());
        assertEquals("INVITE", read.get(1).cseqMethod());
    }

    @Property(tries = 2000, seed = "12")
    boolean decodesOrRejectsCorruptInput(@ForAll long seed) {
        byte[] corrupt = Fuzz.mutate(seed % 2 == 0 ? INVITE : RESPONSE, seed);
        return Fuzz.parsesOrRejects(b -> decoder.next(b, 0, b.length), corrupt)
                && Fuzz.parsesOrRejects(SipDecoder::decodeDatagram, corrupt);
    }

    @Test
    void rejectsInvalidContentLength() {
        for (String length : List.of("", "Content-Length: x\r\n", "Content-Length: -1\r\n", "Content-Length: 99999\r\n",
                "Content-Length: 1\r\nl: 2\r\n", "Content-Length: 9999999999999999999\r\n")) {
            byte[] message = bytes("BYE sip:a@b SIP/2.0\r\n" + length + "\r\nab");
            assertThrows(InvalidInputException.class, () -> decoder.next(message, 0, message.length), length);
        }
        byte[] datagram = bytes("BYE sip:a@b SIP/2.0\r\nContent-Length: 3\r\n\r\nab");
        assertThrows(InvalidInputException.class, () -> SipDecoder.decodeDatagram(datagram));
    }

    @Test
    void rejectsHeadWithoutEnd() {
        byte[] unterminated = bytes("BYE sip:a@b SIP/2.0\r\nX: " + "x".repeat(17_000));
        assertThrows(InvalidInputException.class, () -> decoder.next(unterminated, 0, unterminated.length));
    }

    /** Guards against a decoder that misses the end of a head or body which it has examined in part before. */
    @Test
    void decodesMessagesThatArriveByteByByteThroughMessageHandler() {
        List<SipMessage> messages = new ArrayList<>();
        EmbeddedChannel channel = new EmbeddedChannel(new MessageHandler<>("test", new SipDecoder(),
                new MessageHandler.Listener<SipMessage>() {
                    @Override
                    public void received(Channel from, SipMessage message) {
                        messages.add(message);
                    }

                    @Override
                    public void ended(Channel from, CloseReason reason) {
                        // Not part of this test.
                    }
                }));
        ByteBuf stream = Unpooled.buffer();
        for (int length = 0; length < 5; length++) {
            stream.writeBytes(SipMessage.request("BYE", "sip:x@net").with("Call-ID", "c" + length)
                    .withBody("\r\n\r\nx".substring(0, length).getBytes(StandardCharsets.ISO_8859_1)).encode());
            stream.writeBytes(new byte[] {'\r', '\n'});
        }
        while (stream.isReadable()) {
            channel.writeInbound(stream.readRetainedSlice(1));
        }
        assertEquals(List.of("c0", "c1", "c2", "c3", "c4"), messages.stream().map(SipMessage::callId).toList());
        assertEquals(List.of(0, 1, 2, 3, 4), messages.stream().map(message -> message.body().length).toList());
    }

    /** Guards against forged messages: a receiver may take a lone line feed, or a NUL, for the end of a header. */
    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r", "\0", "\u007f", "\u0001"})
    void rejectsControlCharactersInHead(String character) {
        String message = "BYE sip:x@net SIP/2.0\r\nCall-ID: a" + character + "b\r\nContent-Length: 0\r\n\r\n";
        byte[] bytes = message.getBytes(StandardCharsets.ISO_8859_1);
        assertThrows(InvalidInputException.class, () -> decoder.next(bytes, 0, bytes.length));
        assertThrows(InvalidInputException.class, () -> SipDecoder.decodeDatagram(bytes));
    }

    /** Whatever text a message holds, it is either not encoded or read as this one message with the same fields. */
    @Property(tries = 2_000, seed = "13")
    void encodedMessageIsReadAsOneMessageWithTheSameFields(@ForAll @StringLength(max = 12) String text)
            throws InvalidInputException {
        String bytes = new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
        SipMessage message = SipMessage.request("INVITE", "sip:" + bytes + "@net").with("Call-ID", bytes);
        if (!message.isEncodable()) {
            assertThrows(IllegalStateException.class, message::encode);
            return;
        }
        byte[] encoded = bytes(message);
        FrameDecoder.DecodeResult<SipMessage> decoded = decoder.next(encoded, 0, encoded.length);
        assertEquals(encoded.length, decoded.consumedBytes());
        assertEquals(message.uri(), decoded.message().uri());
        assertEquals(bytes.strip(), decoded.message().callId());
    }
}
