package org.oleanderturn.node;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.oleanderturn.store.LeaseId;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;

/**
 * The platform's store with the operator's configuration, as one life of a node of a {@link ConfigurationFleet} reads it:
 * over the links of the store and of the node. One task watches at a time; others may ask for the revision meanwhile.
 */
final class ConfigurationStore implements Store {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(21);
    private static final Duration ANSWER_TIME = Duration.ofMillis(4);
    private static final int HEAD_BYTES = 300;
    private static final int UNKNOWN_POSITION = -1;

    /** What the store keeps and how it is disturbed; shared by all nodes. */
    static final class Content {
        private record Event(long revision, OperatorVersions.Version version) {}

        private final List<Event> events = new ArrayList<>();
        private final Set<Integer> refusedHosts = new HashSet<>();
        private final Set<Integer> silentHosts = new HashSet<>();
        private List<SimulatedTime.Pending<Boolean>> watches = new ArrayList<>();
        private Duration answerTime = ANSWER_TIME;
        private boolean isAbsent;
        private boolean isBuffered;
        private int calls;

        /** Returns how many calls all nodes have made. */
        int calls() {
            return calls;
        }

        private long revision() {
            return events.isEmpty() ? StoredValue.ABSENT : events.getLast().revision();
        }

        private Optional<Event> current() {
            return isAbsent || events.isEmpty() ? Optional.empty() : Optional.of(events.getLast());
        }

        /** Writes a version; watches see it at once. */
        void write(OperatorVersions.Version version) {
            events.add(new Event(revision() + 1, version));
            notifyWatches();
        }

        /** Loses the newest version, whose revision is given out again; empty when there is only one. */
        Optional<OperatorVersions.Version> loseNewest() {
            if (events.size() < 2) {
                return Optional.empty();
            }
            OperatorVersions.Version lost = events.removeLast().version();
            notifyWatches();
            return Optional.of(lost);
        }

        /** Makes each answer take the usual time or a multiple of it. */
        void setSlowness(int factor) {
            answerTime = ANSWER_TIME.multipliedBy(factor);
        }

        /** Answers that the key is absent, or no longer so. */
        void setAbsent(boolean absent) {
            isAbsent = absent;
        }

        boolean isBuffered() {
            return isBuffered;
        }

        /** Lets whole answers be on their way at once, as in the buffers of a system, also when nobody waits for them. */
        void setBuffered() {
            isBuffered = true;
        }

        /** Refuses the calls of some hosts. */
        void setRefused(Set<Integer> hosts) {
            refusedHosts.clear();
            refusedHosts.addAll(hosts);
        }

        /** Leaves the calls of some hosts without an answer. */
        void setSilent(Set<Integer> hosts) {
            silentHosts.clear();
            silentHosts.addAll(hosts);
        }

        private void notifyWatches() {
            List<SimulatedTime.Pending<Boolean>> notified = watches;
            watches = new ArrayList<>();
            notified.forEach(watch -> watch.complete(true));
        }
    }

    private record Answer(List<Content.Event> events, long bytes) {
        static Answer of(List<Content.Event> events) {
            long bytes = events.stream()
                    .mapToLong(event -> event.version().value().length)
                    .sum();
            return new Answer(events, bytes * 4 / 3);
        }
    }

    private final ConfigurationFleet fleet;
    private final ConfigurationHost host;
    private final Content content;
    private long seenRevision = UNKNOWN_POSITION;
    private long watchedFrom = UNKNOWN_POSITION;
    private long lastConfirmed = UNKNOWN_POSITION;
    private Runnable onFirstPart = () -> {};

    ConfigurationStore(ConfigurationFleet fleet, ConfigurationHost host) {
        this.fleet = fleet;
        this.host = host;
        this.content = fleet.store();
    }

    // -- queries

    @Override
    public Either<StoreFailure, Optional<StoredValue>> get(String key) {
        return get(key, () -> {});
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> get(String key, Runnable onResponse) {
        return call(OptionalLong.empty(), Duration.ZERO, onResponse)
                .map(events -> events.stream().findFirst().map(event -> {
                    confirm(event.revision(), event.revision());
                    return value(key, event);
                }));
    }

    @Override
    public Either<StoreFailure, List<StoredValue>> list(String prefix) {
        throw new UnsupportedOperationException("not used by a reader of the configuration");
    }

    /** Reads the key before the first watch and after a failed one, as the product's client does. */
    @Override
    public Either<StoreFailure, Optional<StoredValue>> watch(String key, long knownRevision, Duration wait) {
        return watch(key, knownRevision, wait, () -> {});
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> watch(
            String key, long knownRevision, Duration wait, Runnable onResponse) {
        onFirstPart = onResponse;
        try {
            return watchNow(key, knownRevision, wait);
        } finally {
            onFirstPart = () -> {};
        }
    }

    private Either<StoreFailure, Optional<StoredValue>> watchNow(String key, long knownRevision, Duration wait) {
        if (seenRevision != knownRevision || watchedFrom == UNKNOWN_POSITION) {
            return call(OptionalLong.empty(), Duration.ZERO).map(events -> {
                confirm(events.isEmpty() ? StoredValue.ABSENT : events.getLast().revision(), content.revision());
                return seenRevision == knownRevision ? Optional.empty() : Optional.of(value(key, events.getLast()));
            });
        }
        OptionalLong after = OptionalLong.of(watchedFrom);
        watchedFrom = UNKNOWN_POSITION;
        if (after.getAsLong() > content.revision()) {
            return call(OptionalLong.empty(), Duration.ZERO).map(_ -> Optional.empty());
        }
        return call(after, wait).map(events -> {
            confirm(
                    events.isEmpty() ? knownRevision : events.getLast().revision(),
                    events.isEmpty() ? after.getAsLong() : events.getLast().revision());
            return events.isEmpty() ? Optional.empty() : Optional.of(value(key, events.getLast()));
        });
    }

    /** Asks for the revision of the store alone, also while a watch waits. */
    @Override
    public Either<StoreFailure, Boolean> isUnchanged(String key, long knownRevision) {
        long confirmed = lastConfirmed;
        if (seenRevision != knownRevision) {
            return Either.right(false);
        }
        return call(OptionalLong.of(Long.MAX_VALUE), Duration.ZERO).map(_ -> content.revision() == confirmed);
    }

    private void confirm(long knownRevision, long storeRevision) {
        seenRevision = knownRevision;
        watchedFrom = storeRevision;
        lastConfirmed = storeRevision;
    }

    /** Returns the value of an event once the host has read it. */
    private StoredValue value(String key, Content.Event event) {
        host.readValue(event.version());
        return StoredValue.of(key, event.revision(), event.version().value());
    }

    // -- calls

    /** Reads the key, or waits for what changed it after a revision. */
    private Either<StoreFailure, List<Content.Event>> call(OptionalLong after, Duration wait) {
        return call(after, wait, after.isPresent() && after.getAsLong() != Long.MAX_VALUE ? onFirstPart : () -> {});
    }

    private Either<StoreFailure, List<Content.Event>> call(OptionalLong after, Duration wait, Runnable onResponse) {
        content.calls++;
        SimulatedTime time = fleet.time();
        SimulatedTime.Pending<Either<StoreFailure, Answer>> begun = time.pending();
        SimulatedTime.Pending<Boolean> complete = time.pending();
        boolean[] hasTimedOut = new boolean[1];
        time.start(fleet.storeDelay(host), fleet.platform(), () -> {
            Either<StoreFailure, Answer> answer = answer(after, wait);
            if (!content.silentHosts.contains(host.number())) {
                long bytes =
                        fleet.scaled(HEAD_BYTES) + answer.map(Answer::bytes).getOrElse(0L);
                fleet.sendFromStore(
                        host,
                        bytes,
                        () -> content.isBuffered || !hasTimedOut[0],
                        () -> begun.complete(answer),
                        () -> complete.complete(true));
            }
        });
        Duration timeout = after.isPresent() ? WATCH_TIMEOUT : RESPONSE_TIMEOUT;
        Optional<Either<StoreFailure, Answer>> answer = begun.await(timeout);
        if (answer.isEmpty()) {
            hasTimedOut[0] = true;
            return Either.left(new StoreFailure.Undetermined("timed out"));
        }
        onResponse.run();
        var _ = complete.await(WATCH_TIMEOUT);
        if (answer.get().isRight()) {
            host.parse(answer.get().get().bytes());
        }
        return answer.get().map(Answer::events);
    }

    private Either<StoreFailure, Answer> answer(OptionalLong after, Duration wait) {
        SimulatedTime time = fleet.time();
        time.sleep(content.answerTime);
        if (content.refusedHosts.contains(host.number())) {
            return Either.left(new StoreFailure.Unreachable("refused"));
        }
        if (after.isEmpty()) {
            return Either.right(Answer.of(content.current().stream().toList()));
        }
        long end = time.nanoseconds() + wait.toNanos();
        while (content.revision() <= after.getAsLong() && time.nanoseconds() < end) {
            SimulatedTime.Pending<Boolean> change = time.pending();
            content.watches.add(change);
            var _ = change.await(Duration.ofNanos(end - time.nanoseconds()));
        }
        return Either.right(Answer.of(content.events.stream()
                .filter(event -> event.revision() > after.getAsLong())
                .toList()));
    }

    // -- commands

    @Override
    public Either<StoreFailure, Long> compareAndSwap(String key, long expectedRevision, byte[] value) {
        throw readOnly();
    }

    @Override
    public Either<StoreFailure, Long> compareAndSwapLeased(
            String key, long expectedRevision, byte[] value, LeaseId lease) {
        throw readOnly();
    }

    @Override
    public Either<StoreFailure, Long> remove(String key, long expectedRevision) {
        throw readOnly();
    }

    @Override
    public Either<StoreFailure, LeaseId> grantLease(Duration timeToLive) {
        throw readOnly();
    }

    @Override
    public Either<StoreFailure, LeaseId> keepAlive(LeaseId lease) {
        throw readOnly();
    }

    @Override
    public Either<StoreFailure, LeaseId> revokeLease(LeaseId lease) {
        throw readOnly();
    }

    private static UnsupportedOperationException readOnly() {
        return new UnsupportedOperationException("not used by a reader of the configuration");
    }
}
