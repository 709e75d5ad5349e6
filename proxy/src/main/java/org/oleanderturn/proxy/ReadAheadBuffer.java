package org.oleanderturn.proxy;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Bytes that have been read from a connection before anybody asked for them, with when they arrived.
 *
 * <p>Invariants: it holds at most the limit, of which all but the first {@value #UNRESERVED_BYTES} bytes are reserved; no
 * byte arrived before the time that is stated for it. Not thread safe.
 */
final class ReadAheadBuffer {
    /** Held without a reservation: a client that sends its next request early mostly sends a short one. */
    private static final int UNRESERVED_BYTES = 1_024;

    /** Arrivals that are told apart; of more, the later ones count as arrived with the one before, never as younger. */
    private static final int MAXIMUM_SPANS = 32;

    /** Bytes that arrived together. */
    private record Span(int length, long arrivalNanoseconds) {}

    private final int limitBytes;
    private final BodyReservation reservation;
    private final Deque<Span> spans = new ArrayDeque<>();
    private byte[] bytes = new byte[0];
    private int start;
    private int end;
    private int scanned;
    private long reservedBytes;

    ReadAheadBuffer(int limitBytes, BodyReservation reservation) {
        this.limitBytes = limitBytes;
        this.reservation = Objects.requireNonNull(reservation, "reservation is null");
    }

    // -- queries

    int size() {
        return end - start;
    }

    /** Returns a time at or before the arrival of the first byte. */
    OptionalLong arrivalNanoseconds() {
        return spans.isEmpty() ? OptionalLong.empty() : OptionalLong.of(spans.peekFirst().arrivalNanoseconds);
    }

    /** Returns the length of the first head of a request with the empty lines before it; 0 if its end is missing. */
    int headLength() {
        int first = start;
        while (first < end && (bytes[first] == '\r' || bytes[first] == '\n')) {
            first++;
        }
        // The last two bytes that were scanned may belong to the end of the head.
        for (int index = Math.max(first, scanned); index < end; index++) {
            if (bytes[index] == '\n' && isEmptyLineBefore(index, first)) {
                scanned = index;
                return index + 1 - start;
            }
        }
        scanned = end;
        return 0;
    }

    private boolean isEmptyLineBefore(int lineFeed, int first) {
        int previous = bytes[lineFeed - 1] == '\r' ? lineFeed - 2 : lineFeed - 1;
        return previous >= first && lineFeed > first && bytes[previous] == '\n';
    }

    // -- commands

    /** Returns room for further bytes; without any if the limit or the reservation allows no more. */
    ByteBuffer room() {
        if (end == bytes.length) {
            grow();
        }
        return ByteBuffer.wrap(bytes, end, bytes.length - end);
    }

    /** Adds bytes that have been put into the room. */
    void added(int count, long arrivalNanoseconds) {
        end += count;
        if (spans.size() < MAXIMUM_SPANS) {
            spans.addLast(new Span(count, arrivalNanoseconds));
        } else {
            Span last = spans.removeLast();
            spans.addLast(new Span(last.length + count, last.arrivalNanoseconds));
        }
    }

    /** Puts bytes in front of the others; a few, as they come from the buffer of the parser. */
    void putBack(byte[] earlier, long arrivalNanoseconds) {
        if (earlier.length > start) {
            byte[] larger = new byte[earlier.length + size()];
            System.arraycopy(bytes, start, larger, earlier.length, size());
            end = larger.length;
            start = earlier.length;
            bytes = larger;
        }
        start -= earlier.length;
        System.arraycopy(earlier, 0, bytes, start, earlier.length);
        scanned = start;
        spans.addFirst(new Span(earlier.length, arrivalNanoseconds));
    }

    /** Takes bytes from the front; at most those of the first head if its end is there. */
    int take(byte[] destination, int offset, int length) {
        int head = headLength();
        int count = Math.min(length, head > 0 ? head : size());
        System.arraycopy(bytes, start, destination, offset, count);
        start += count;
        removeSpans(count);
        if (start == end) {
            clear();
        }
        return count;
    }

    /** Removes empty lines from the front. */
    void skipEmptyLines() {
        int count = 0;
        while (start < end && (bytes[start] == '\r' || bytes[start] == '\n')) {
            start++;
            count++;
        }
        removeSpans(count);
        if (count > 0 && start == end) {
            clear();
        }
    }

    private void removeSpans(int count) {
        int remaining = count;
        while (remaining > 0) {
            Span first = spans.removeFirst();
            if (first.length > remaining) {
                spans.addFirst(new Span(first.length - remaining, first.arrivalNanoseconds));
            }
            remaining -= Math.min(first.length, remaining);
        }
    }

    private void clear() {
        start = 0;
        end = 0;
        scanned = 0;
        if (bytes.length > UNRESERVED_BYTES) {
            reservation.release(reservedBytes);
            reservedBytes = 0;
            bytes = new byte[0];
        }
    }

    private void grow() {
        int capacity = Math.min(limitBytes, Math.max(UNRESERVED_BYTES, 2 * size()));
        if (capacity <= size() || !reserveFor(capacity)) {
            capacity = bytes.length;
        }
        if (capacity == bytes.length && start == 0) {
            return;
        }
        byte[] larger = new byte[capacity];
        System.arraycopy(bytes, start, larger, 0, size());
        scanned = Math.max(0, scanned - start);
        end = size();
        start = 0;
        bytes = larger;
    }

    private boolean reserveFor(int capacity) {
        long missing = capacity - UNRESERVED_BYTES - reservedBytes;
        if (missing <= 0) {
            return true;
        }
        if (!reservation.tryReserve(missing)) {
            return false;
        }
        reservedBytes += missing;
        return true;
    }
}
