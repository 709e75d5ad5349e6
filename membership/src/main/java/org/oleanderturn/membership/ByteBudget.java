package org.oleanderturn.membership;

import java.util.concurrent.atomic.AtomicReference;

/**
 * A token bucket of bytes whose balance may become negative: a mandatory message is charged in any case, optional data
 * is sent only while the balance is positive.
 *
 * <p>Invariant: the balance never exceeds the bytes of one second. Thread safe.
 */
final class ByteBudget {
    private static final long MILLISECONDS_PER_SECOND = 1000;

    private final long bytesPerSecond;
    private final AtomicReference<Balance> balance;

    private ByteBudget(long bytesPerSecond, long nowMilliseconds) {
        this.bytesPerSecond = bytesPerSecond;
        this.balance = new AtomicReference<>(new Balance(bytesPerSecond, nowMilliseconds));
    }

    static ByteBudget of(long bytesPerSecond, long nowMilliseconds) {
        return new ByteBudget(bytesPerSecond, nowMilliseconds);
    }

    boolean isAvailable(long nowMilliseconds) {
        return balance.get().refilledTo(nowMilliseconds, bytesPerSecond).bytes() > 0;
    }

    void charge(long bytes, long nowMilliseconds) {
        balance.updateAndGet(before -> {
            Balance refilled = before.refilledTo(nowMilliseconds, bytesPerSecond);
            return new Balance(refilled.bytes() - bytes, refilled.refilledAtMilliseconds());
        });
    }

    private record Balance(double bytes, long refilledAtMilliseconds) {

        private Balance refilledTo(long nowMilliseconds, long bytesPerSecond) {
            long elapsed = Math.max(0, nowMilliseconds - refilledAtMilliseconds);
            double refilled = bytes + (double) elapsed * bytesPerSecond / MILLISECONDS_PER_SECOND;
            return new Balance(
                    Math.min((double) bytesPerSecond, refilled), Math.max(nowMilliseconds, refilledAtMilliseconds));
        }
    }
}
