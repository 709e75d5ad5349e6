package org.oleanderturn.traffic;

/** When the failures of an upstream count as too many. Immutable and thread safe. */
public sealed interface EjectionStrategy {

    /** Returns whether an upstream of which this was seen fails too much. */
    default boolean isFailing(Observation seen) {
        return switch (this) {
            case Never never -> false;
            case FailureRun run -> seen.failureRun() >= run.length();
            case FailureShare share ->
                seen.windowAnswers() >= share.leastAnswers()
                        && seen.windowFailures() * 100 >= share.percent() * seen.windowAnswers();
            case RunOrShare both -> both.run().isFailing(seen) || both.share().isFailing(seen);
        };
    }

    /** Never. */
    record Never() implements EjectionStrategy {}

    /** After so many failures with no success between them. */
    record FailureRun(int length) implements EjectionStrategy {}

    /** When failures reach a share of the answers of the last seconds, once there are enough answers. */
    record FailureShare(int percent, int leastAnswers) implements EjectionStrategy {}

    /** When either says so. */
    record RunOrShare(FailureRun run, FailureShare share) implements EjectionStrategy {}
}
