package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

/**
 * The runs for which no response has arrived, by the place that runs them: a process of a target, or a node.
 *
 * <p>When a place ends, the requests that it had not answered may be the reason. A run that was given up is kept for a
 * while, since its place may end only after that. Invariant: at most {@value #MAXIMUM_GIVEN_UP} given-up runs are kept,
 * each for at most ten seconds. Thread safe.
 *
 * @param <P> identifies a place
 * @param <R> a run; compared by identity
 */
public final class UnansweredRuns<P, R> {
    static final int MAXIMUM_GIVEN_UP = 1_024;

    /** Longer than the system takes to notice that a place has ended silently. */
    private static final Duration GIVEN_UP_LIFETIME = Duration.ofSeconds(10);

    private record GivenUp<P, R>(P place, R run, long nanoseconds) {}

    private final LongSupplier nanoseconds;
    private final Map<P, Set<R>> inFlight = new ConcurrentHashMap<>();
    private final Deque<GivenUp<P, R>> givenUp = new ConcurrentLinkedDeque<>();
    private final AtomicInteger givenUpCount = new AtomicInteger();

    private UnansweredRuns(LongSupplier nanoseconds) {
        this.nanoseconds = nanoseconds;
    }

    /** Returns an empty collection; the clock is monotonic, in nanoseconds. */
    public static <P, R> UnansweredRuns<P, R> of(LongSupplier nanoseconds) {
        return new UnansweredRuns<>(Objects.requireNonNull(nanoseconds, "nanoseconds is null"));
    }

    /** Records that a run begins. */
    public void begin(P place, R run) {
        inFlight.compute(place, (_, runs) -> {
            Set<R> extended = runs == null ? ConcurrentHashMap.newKeySet() : runs;
            extended.add(run);
            return extended;
        });
    }

    /** Records that a run was answered, or certainly did not begin. */
    public void answer(P place, R run) {
        var _ = remove(place, run);
    }

    /** Records that nobody waits for the response of a run any more. */
    public void giveUp(P place, R run) {
        if (!remove(place, run)) {
            return;
        }
        givenUp.addLast(new GivenUp<>(place, run, nanoseconds.getAsLong()));
        if (givenUpCount.incrementAndGet() > MAXIMUM_GIVEN_UP && givenUp.pollFirst() != null) {
            givenUpCount.decrementAndGet();
        }
        forgetExpired();
    }

    /** Removes and returns the runs that a place has not answered, after it has ended. */
    public List<R> end(P place) {
        forgetExpired();
        Set<R> running = inFlight.remove(place);
        List<R> ended = new ArrayList<>(running == null ? Set.of() : running);
        for (Iterator<GivenUp<P, R>> iterator = givenUp.iterator(); iterator.hasNext(); ) {
            GivenUp<P, R> candidate = iterator.next();
            if (candidate.place().equals(place) && givenUp.remove(candidate)) {
                givenUpCount.decrementAndGet();
                ended.add(candidate.run());
            }
        }
        return ended;
    }

    private boolean remove(P place, R run) {
        boolean[] wasRunning = new boolean[1];
        inFlight.computeIfPresent(place, (_, runs) -> {
            wasRunning[0] = runs.remove(run);
            return runs.isEmpty() ? null : runs;
        });
        return wasRunning[0];
    }

    private void forgetExpired() {
        long oldest = nanoseconds.getAsLong() - GIVEN_UP_LIFETIME.toNanos();
        GivenUp<P, R> first = givenUp.peekFirst();
        while (first != null && first.nanoseconds() - oldest < 0) {
            if (givenUp.remove(first)) {
                givenUpCount.decrementAndGet();
            }
            first = givenUp.peekFirst();
        }
    }
}
