package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against a head that is taken for whole too early, and against memory and arrival times that are lost. */
final class ReadAheadBufferTest {
    private static final int LIMIT_BYTES = 10_000;
    private static final String HEAD = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

    private final BodyMemoryBudget budget = BodyMemoryBudget.of(16_000);
    private final ReadAheadBuffer buffer = new ReadAheadBuffer(LIMIT_BYTES, BodyReservation.of(budget));

    @Test
    void shouldFindTheEndOfAHeadWhenItArrivesByteByByte() {
        for (int index = 0; index < HEAD.length(); index++) {
            assertThat(buffer.headLength()).isEqualTo(0);
            add(HEAD.substring(index, index + 1), index);
        }
        assertThat(buffer.headLength()).isEqualTo(HEAD.length());
        assertThat(buffer.arrivalNanoseconds()).hasValue(0);
    }

    @Test
    void shouldFindNoHeadWhenOnlyEmptyLinesHaveArrived() {
        add("\r\n\r\n\n\n", 1);
        assertThat(buffer.headLength()).isEqualTo(0);
        add("GET / HTTP/1.1\n\nG", 2);
        assertThat(buffer.headLength()).isEqualTo("\r\n\r\n\n\nGET / HTTP/1.1\n\n".length());
        buffer.skipEmptyLines();
        assertThat(buffer.arrivalNanoseconds()).hasValue(2);
    }

    @Test
    void shouldTakeOneHeadAtATimeWithItsArrival() {
        add(HEAD + "GET /b", 5);
        add(" HTTP/1.1\r\n\r\n", 9);
        assertThat(take(LIMIT_BYTES)).isEqualTo(HEAD);
        assertThat(buffer.arrivalNanoseconds()).hasValue(5);
        assertThat(take(LIMIT_BYTES)).isEqualTo("GET /b HTTP/1.1\r\n\r\n");
        assertThat(buffer.arrivalNanoseconds()).isEmpty();
    }

    @Test
    void shouldReturnBytesThatWerePutBackFirst() {
        buffer.putBack(HEAD.getBytes(StandardCharsets.US_ASCII), 3);
        add("xyz", 7);
        buffer.putBack("\r\n".getBytes(StandardCharsets.US_ASCII), 2);
        assertThat(buffer.arrivalNanoseconds()).hasValue(2);
        assertThat(take(2)).isEqualTo("\r\n");
        assertThat(take(4)).isEqualTo("GET ");
        buffer.putBack("GET ".getBytes(StandardCharsets.US_ASCII), 3);
        assertThat(take(LIMIT_BYTES)).isEqualTo(HEAD);
        assertThat(take(LIMIT_BYTES)).isEqualTo("xyz");
    }

    /** The share of one reservation is a quarter of the budget, 4,000 bytes, beside 1,024 that need none. */
    @Test
    void shouldHoldNoMoreThanTheReservationAllowsAndReturnIt() {
        int held = 0;
        while (buffer.room().hasRemaining() && held < 2 * LIMIT_BYTES) {
            add("x", 1);
            held++;
        }
        assertThat(held).isAtMost(1_024 + 4_000);
        assertThat(held).isAtLeast(1_024);
        assertThat(take(500)).hasLength(500);
        assertThat(buffer.room().hasRemaining()).isTrue();
        assertThat(take(LIMIT_BYTES)).hasLength(held - 500);
        assertThat(budget.reservedBytes()).isEqualTo(0);
    }

    private void add(String text, long arrivalNanoseconds) {
        int done = 0;
        while (done < text.length()) {
            ByteBuffer room = buffer.room();
            int count = Math.min(room.remaining(), text.length() - done);
            room.put(text.substring(done, done + count).getBytes(StandardCharsets.US_ASCII));
            buffer.added(count, arrivalNanoseconds);
            done += count;
        }
    }

    private String take(int length) {
        byte[] bytes = new byte[length];
        int count = buffer.take(bytes, 0, length);
        return new String(bytes, 0, count, StandardCharsets.US_ASCII);
    }
}
