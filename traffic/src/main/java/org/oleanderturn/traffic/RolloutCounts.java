package org.oleanderturn.traffic;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.time.Duration;

/**
 * Counts of the answers of one version's targets, which only grow. Encoded as an array, as every node sends them often.
 *
 * <p>Immutable and thread safe.
 *
 * @param answers how many attempts ended, bad ones included
 * @param bad how many of them failed or got no answer
 * @param timed how many of the others have their times in the sums; the first ones have not
 * @param logarithms sum of the logarithms of these times, in steps of {@link #STEPS_PER_DOUBLING} to each
 *     doubling, so that one answer that takes very long does not decide
 * @param squares sum of the squares of these logarithms
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"answers", "bad", "timed", "logarithms", "squares"})
public record RolloutCounts(long answers, long bad, long timed, long logarithms, long squares) {
    /** Whole numbers in steps of 9 % are exact enough, and short when encoded. */
    static final int STEPS_PER_DOUBLING = 8;

    private static final RolloutCounts NONE = new RolloutCounts(0, 0, 0, 0, 0);

    /** Returns the counts before the first answer. */
    public static RolloutCounts none() {
        return NONE;
    }

    /** Returns these counts and an answer that is not bad, and whose time says nothing as targets are still cold. */
    public RolloutCounts plusColdAnswer() {
        return new RolloutCounts(answers + 1, bad, timed, logarithms, squares);
    }

    /** Returns these counts and an answer that is not bad. */
    public RolloutCounts plusAnswer(Duration time) {
        double milliseconds = Math.max(1, time.toNanos() / 1e6);
        long logarithm = Math.round(Math.log(milliseconds) / Math.log(2) * STEPS_PER_DOUBLING);
        return new RolloutCounts(answers + 1, bad, timed + 1, logarithms + logarithm, squares + logarithm * logarithm);
    }

    /** Returns these counts and a bad answer. */
    public RolloutCounts plusBad() {
        return new RolloutCounts(answers + 1, bad + 1, timed, logarithms, squares);
    }

    RolloutCounts plus(RolloutCounts other) {
        return new RolloutCounts(
                answers + other.answers,
                bad + other.bad,
                timed + other.timed,
                logarithms + other.logarithms,
                squares + other.squares);
    }

    /** Returns the mean logarithm of the times, in doublings. */
    double mean() {
        return timed == 0 ? 0 : (double) logarithms / timed / STEPS_PER_DOUBLING;
    }

    /** Returns the variance of the mean logarithm of the times, in doublings squared. */
    double varianceOfMean() {
        double mean = timed == 0 ? 0 : (double) logarithms / timed;
        double variance = timed == 0 ? 0 : (double) squares / timed - mean * mean;
        return Math.max(0, variance) / STEPS_PER_DOUBLING / STEPS_PER_DOUBLING / Math.max(1, timed);
    }
}
