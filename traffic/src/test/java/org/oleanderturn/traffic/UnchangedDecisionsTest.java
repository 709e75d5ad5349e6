package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against a change of decisions for deployments without organisations. The digests are those of the decisions of
 * commit f0729e4, before organisations shared anything; whoever changes the decisions on purpose replaces them.
 */
final class UnchangedDecisionsTest {
    private static final String QUEUE_DIGEST = "bff9144024e5ff5335178380bed516ae00236b4396984d8937e39b59cb9cddd4";
    private static final String ENTRY_DIGEST = "2b5e22771c215bc1359ff2eb0be9b84d29d6e8cec658ed802febba2e44df4c25";
    private static final int SEEDS = 200;
    private static final int STEPS = 400;

    private long now;

    @Test
    void shouldDecideAsBeforeAtTheQueueWhenNoOrganisationsAreDeclared() {
        StringBuilder decisions = new StringBuilder();
        for (int seed = 0; seed < SEEDS; seed++) {
            playQueue(new SplittableRandom(seed), decisions);
        }
        assertThat(digest(decisions)).isEqualTo(QUEUE_DIGEST);
    }

    @Test
    void shouldDecideAsBeforeAtTheEntryWhenNoOrganisationsAreDeclared() {
        StringBuilder decisions = new StringBuilder();
        for (int seed = 0; seed < SEEDS; seed++) {
            playEntry(new SplittableRandom(seed), decisions);
        }
        assertThat(digest(decisions)).isEqualTo(ENTRY_DIGEST);
    }

    private void playQueue(SplittableRandom random, StringBuilder decisions) {
        SlotQueue queue = SlotQueue.of(() -> now);
        List<SlotTicket> tickets = new ArrayList<>();
        queue.open(1 + random.nextInt(6));
        for (int step = 0; step < STEPS; step++) {
            now += random.nextLong(30_000_000);
            int event = random.nextInt(40);
            if (event < 20) {
                tickets.add(queue.request(SlotRequest.within(
                        Duration.ofMillis(200 + random.nextInt(600)),
                        random.nextInt(3),
                        Duration.ofMillis(random.nextInt(300)),
                        Duration.ofMillis(random.nextInt(800)),
                        Duration.ofMillis(random.nextInt(1_500)))));
            } else if (event < 36 && !tickets.isEmpty()) {
                queue.release(tickets.get(random.nextInt(tickets.size())));
            } else if (event < 37 && !tickets.isEmpty()) {
                queue.withdraw(tickets.get(random.nextInt(tickets.size())));
            } else if (event < 38) {
                boolean isLimited = random.nextBoolean();
                queue.limitRate(isLimited ? OptionalDouble.of(5 + random.nextInt(40)) : OptionalDouble.empty());
            } else if (event < 39 && random.nextInt(8) == 0) {
                queue.close();
                queue.open(1 + random.nextInt(6));
            } else {
                queue.grantDue();
            }
            decisions.append(queue.state()).append('\n');
        }
        tickets.forEach(ticket ->
                decisions.append(ticket.decision()).append(ticket.waited()).append('\n'));
    }

    private void playEntry(SplittableRandom random, StringBuilder decisions) {
        OfferThrottle throttle = OfferThrottle.of(() -> now, random.split());
        CoreAdmission admission = CoreAdmission.of(() -> now, random.split());
        for (int step = 0; step < STEPS; step++) {
            now += random.nextLong(20_000_000);
            boolean isOffered = throttle.tryOffer();
            decisions.append(isOffered).append(Math.round(throttle.withheldShare() * 1e6));
            if (isOffered && random.nextInt(5) == 0) {
                throttle.recordTaken();
            } else if (isOffered) {
                throttle.recordRefused(Duration.ofMillis(random.nextInt(60)), Duration.ofMillis(random.nextInt(200)));
            }
            Duration lateness = Duration.ofMillis(random.nextInt(120));
            decisions.append(admission.tryAdmit(lateness, random.nextInt(4)));
            decisions
                    .append(admission.tryAdmitCall(lateness))
                    .append(admission.share())
                    .append('\n');
        }
    }

    private static String digest(StringBuilder decisions) {
        try {
            byte[] bytes = decisions.toString().getBytes(StandardCharsets.UTF_8);
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException cause) {
            throw new AssertionError("every Java platform has SHA-256", cause);
        }
    }
}
