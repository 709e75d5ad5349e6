package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.model.NodeId;

/**
 * Reports to the node that judges rollouts and takes over its answers.
 *
 * <p>The judge is the reachable node with the highest id, as the ones with low ids have the messages of a relay, too; when it
 * does not answer, the next one is asked. Nothing is sent while
 * the targets of each service run one version. {@link #run} must be called by one thread at a time.
 */
final class RolloutReporter {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final long IDLE_INTERVAL_MILLISECONDS = 500;

    /** A node that is asked for the first time reads the orders before it answers. */
    private static final long RETRY_INTERVAL_MILLISECONDS = 400;

    /** Limits the reports that reach the judge to 72 per second, which with their answers are below 20 KB. */
    private static final long INTERVAL_MILLISECONDS_PER_PEER = 14;

    private final NodeId self;
    private final RolloutEntry entry;
    private final RolloutJudge judge;
    private final ControlChannel channel;
    private final Supplier<List<MemberRecord>> peers;
    private final LongSupplier clockNanoseconds;
    private final JudgeChoice choice = new JudgeChoice();

    RolloutReporter(
            NodeId self,
            RolloutEntry entry,
            RolloutJudge judge,
            ControlChannel channel,
            Supplier<List<MemberRecord>> peers,
            LongSupplier clockNanoseconds) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.entry = Objects.requireNonNull(entry, "entry is null");
        this.judge = Objects.requireNonNull(judge, "judge is null");
        this.channel = Objects.requireNonNull(channel, "channel is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.clockNanoseconds = Objects.requireNonNull(clockNanoseconds, "clockNanoseconds is null");
    }

    /** Reports once if there is something to report; returns the delay before the next run, in milliseconds. */
    long run() {
        if (!entry.isRolling() && !entry.hasSeveralVersions()) {
            choice.reset();
            return IDLE_INTERVAL_MILLISECONDS;
        }
        List<MemberRecord> reachable = peers.get();
        long sent = clockNanoseconds.getAsLong();
        Optional<List<RolloutDirective>> directives = ask(reachable);
        if (directives.isEmpty()) {
            choice.recordSilence();
            return RETRY_INTERVAL_MILLISECONDS;
        }
        choice.recordAnswer();
        entry.apply(directives.get(), sent);
        return Math.max(entry.pace().interval().toMillis(), reachable.size() * INTERVAL_MILLISECONDS_PER_PEER);
    }

    /** Returns whether this node is the one that the others ask first. */
    static boolean isUsualJudge(NodeId self, List<MemberRecord> reachable) {
        return reachable.stream().noneMatch(peer -> peer.node().compareTo(self) > 0);
    }

    private Optional<List<RolloutDirective>> ask(List<MemberRecord> reachable) {
        Map<NodeId, MemberRecord> records = new HashMap<>();
        reachable.forEach(peer -> records.put(peer.node(), peer));
        NodeId asked = choice.choose(Stream.concat(Stream.of(self), records.keySet().stream())
                .sorted(Comparator.reverseOrder())
                .toList());
        ControlMessage.RolloutReports reports = entry.reports();
        if (asked.equals(self)) {
            return judge.answer(reports.reports());
        }
        Either<ControlFailure, Optional<List<RolloutDirective>>> answer =
                channel.reportRollouts(records.get(asked).controlAddress(), reports);
        answer.peekLeft(failure -> log.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                "rollouts were not reported to %s: %s", asked, failure));
        return answer.getOrElse(Optional.empty());
    }
}
