package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class LookaheadInputStreamTest {
    private final Connection connection = new Connection();
    private final AtomicInteger disconnects = new AtomicInteger();
    private final LookaheadInputStream input =
            LookaheadInputStream.of(connection, connection::readArrived, BodyReservation.unlimited());

    @Test
    void shouldReturnTheBytesReadAheadFirstWhenReadAfterACheck() throws IOException {
        input.watch(this, disconnects::incrementAndGet);
        connection.receive(1, 2, 3);
        input.checkWatched();
        input.unwatch(this);
        connection.receive(4);

        assertThat(input.available()).isEqualTo(3);
        assertThat(input.read()).isEqualTo(1);
        assertThat(input.readNBytes(3)).isEqualTo(new byte[] {2, 3, 4});
        assertThat(disconnects.get()).isEqualTo(0);
    }

    @Test
    void shouldRunTheActionOnceWhenThePeerDisconnects() throws IOException {
        input.watch(this, disconnects::incrementAndGet);
        connection.end();
        input.checkWatched();
        input.checkWatched();

        assertThat(disconnects.get()).isEqualTo(1);
        assertThat(input.read()).isEqualTo(-1);
    }

    @Test
    void shouldRunALaterActionImmediatelyWhenThePeerHasDisconnected() {
        connection.end();
        assertThat(input.hasEnded()).isTrue();
        input.watch(this, disconnects::incrementAndGet);

        assertThat(disconnects.get()).isEqualTo(1);
    }

    @Test
    void shouldNotRunTheActionWhenWatchingHasStopped() {
        input.watch(this, disconnects::incrementAndGet);
        input.unwatch(this);
        connection.end();
        input.checkWatched();

        assertThat(disconnects.get()).isEqualTo(0);
    }

    @Test
    void shouldFindTheEndBehindBytesOfAFurtherRequest() throws IOException {
        input.watch(this, disconnects::incrementAndGet);
        connection.receive(7);
        input.checkWatched();
        assertThat(disconnects.get()).isEqualTo(0);
        connection.end();
        input.checkWatched();

        assertThat(disconnects.get()).isEqualTo(1);
        assertThat(input.read()).isEqualTo(7);
        assertThat(input.read()).isEqualTo(-1);
    }

    @Test
    void shouldFindTheEndWithoutAnActionWhenAskedForIt() {
        assertThat(input.hasEnded()).isFalse();
        connection.end();
        assertThat(input.hasEnded()).isTrue();
    }

    /** Guards against an idle time that counts as the wait of the request that ends it. */
    @Test
    void shouldCountAnArrivalFromWhenTheInputWasLastFoundEmpty() throws IOException {
        long before = System.nanoTime();
        assertThat(input.available()).isEqualTo(0);
        long after = System.nanoTime();
        connection.receive(1);
        assertThat(input.hasEnded()).isFalse();
        assertThat(input.arrivalNanoseconds().getAsLong() - before).isAtLeast(0);
        assertThat(input.arrivalNanoseconds().getAsLong() - after).isAtMost(0);
    }

    @Test
    void shouldFindTheEndBehindMoreThanIsKept() throws IOException {
        input.watch(this, disconnects::incrementAndGet);
        connection.receive(new int[1_200_000]);
        connection.end();
        input.checkWatched();

        assertThat(input.hasOverflowed()).isTrue();
        assertThat(disconnects.get()).isEqualTo(1);
    }

    /** A connection whose bytes arrive when the test says so. */
    private static final class Connection extends InputStream {
        private final Deque<Byte> arrived = new ArrayDeque<>();
        private boolean hasEnded;

        private void receive(int... bytes) {
            for (int value : bytes) {
                arrived.add((byte) value);
            }
        }

        private void end() {
            hasEnded = true;
        }

        private int readArrived(ByteBuffer buffer) {
            if (arrived.isEmpty()) {
                return hasEnded ? -1 : 0;
            }
            int count = 0;
            while (!arrived.isEmpty() && buffer.hasRemaining()) {
                buffer.put(arrived.remove());
                count++;
            }
            return count;
        }

        @Override
        public int read() {
            return arrived.isEmpty() ? -1 : Byte.toUnsignedInt(arrived.remove());
        }

        @Override
        public int read(byte[] bytes, int offset, int length) {
            if (arrived.isEmpty()) {
                return -1;
            }
            bytes[offset] = arrived.remove();
            return 1;
        }

        @Override
        public int available() {
            return arrived.size();
        }
    }
}
