package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.ServiceName;

/**
 * Plays requests of many organisations at the {@link SlotQueue}s of several targets through the {@link OfferThrottles} of
 * several entries, in virtual time, and records what their callers get. Equal seeds give equal courses. Used by one thread.
 */
final class OrganisationLoad {
    static final int ORGANISATIONS = 87;
    private static final int TARGETS = 6;
    private static final int ENTRIES = 8;
    private static final int SLOTS = 6;
    private static final int MAXIMUM_OFFERS = 4;
    private static final double SIZE_EXPONENT = -1.2;
    private static final double MAXIMUM_WAIT_SHARE = 0.6;
    private static final ServiceName SERVICE = ServiceName.of("orders");
    private static final Duration TRIP = Duration.ofMillis(1);
    private static final Duration DAY = Duration.ofSeconds(90);
    private static final Duration BURST = Duration.ofSeconds(5);

    /**
     * A kind of request; the load is the usual part of all slots that it uses.
     *
     * @param burstFactor how many times its usual rate it has during the burst, for every organisation
     */
    record Kind(
            String name,
            int rank,
            Duration run,
            Duration targetLatency,
            Duration limit,
            double load,
            double burstFactor) {
        double usualRate() {
            return load * TARGETS * SLOTS / (run.toNanos() / 1e9);
        }
    }

    static final List<Kind> KINDS = List.of(
            new Kind("receipt", 10, Duration.ofMillis(78), Duration.ofMillis(251), Duration.ofMillis(1_000), 0.1, 1),
            new Kind("balance", 11, Duration.ofMillis(190), Duration.ofMillis(601), Duration.ofMillis(2_000), 0.35, 1),
            new Kind("deposit", 11, Duration.ofMillis(257), Duration.ofMillis(803), Duration.ofMillis(2_500), 0.15, 1),
            new Kind(
                    "extract", 12, Duration.ofMillis(486), Duration.ofMillis(3_001), Duration.ofMillis(5_000), 0.2, 2));

    /**
     * What is played.
     *
     * @param hot the organisation that sends more, from 0
     * @param factor how many times its usual rate it sends
     * @param isNamed whether requests carry their organisation
     */
    record Scenario(int hot, double factor, boolean isNamed, long seed) {}

    /** What a caller got; the wait is that for a slot, empty if the request was not run. */
    record Result(int organisation, Kind kind, Optional<Duration> waited) {}

    private record Event(long nanoseconds, long sequence, Runnable action) {}

    private final Scenario scenario;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>((first, second) -> {
        int byTime = Long.compare(first.nanoseconds(), second.nanoseconds());
        return byTime != 0 ? byTime : Long.compare(first.sequence(), second.sequence());
    });
    private final List<SlotQueue> targets;
    private final List<OfferThrottles> entries;
    private final double[] sizes = new double[ORGANISATIONS];
    private final List<Result> results = new ArrayList<>();
    private long now;
    private long sequence;

    private OrganisationLoad(Scenario scenario) {
        this.scenario = scenario;
        this.random = new SplittableRandom(scenario.seed());
        this.targets = IntStream.range(0, TARGETS)
                .mapToObj(_ -> SlotQueue.of(() -> now))
                .toList();
        this.entries = IntStream.range(0, ENTRIES)
                .mapToObj(_ -> OfferThrottles.of(() -> now, random))
                .toList();
        targets.forEach(target -> target.open(SLOTS));
        double sum = IntStream.rangeClosed(1, ORGANISATIONS)
                .mapToDouble(size -> Math.pow(size, SIZE_EXPONENT))
                .sum();
        for (int organisation = 0; organisation < ORGANISATIONS; organisation++) {
            sizes[organisation] = Math.pow(organisation + 1, SIZE_EXPONENT) / sum;
        }
    }

    /** Plays a day and returns what the callers of the burst got. */
    static List<Result> play(Scenario scenario) {
        OrganisationLoad load = new OrganisationLoad(scenario);
        for (int organisation = 0; organisation < ORGANISATIONS; organisation++) {
            for (Kind kind : KINDS) {
                load.scheduleArrival(organisation, kind);
            }
        }
        while (!load.events.isEmpty()) {
            Event event = load.events.poll();
            load.now = event.nanoseconds();
            event.action().run();
        }
        return load.results;
    }

    // -- clients

    private void scheduleArrival(int organisation, Kind kind) {
        boolean isBurst = now >= BURST.toNanos();
        double factor = isBurst ? kind.burstFactor() * (organisation == scenario.hot() ? scenario.factor() : 1) : 1;
        double seconds = -Math.log(1 - random.nextDouble()) / (kind.usualRate() * sizes[organisation] * factor);
        long arrival = now + (long) (seconds * 1e9);
        if (!isBurst && arrival > BURST.toNanos()) {
            // Arrivals have no memory, so that they may be drawn anew when the rate changes.
            at(BURST.minusNanos(now), () -> scheduleArrival(organisation, kind));
        } else if (arrival < DAY.toNanos()) {
            at(Duration.ofNanos(arrival - now), () -> {
                new Dispatch(organisation, kind).offer();
                scheduleArrival(organisation, kind);
            });
        }
    }

    private void at(Duration delay, Runnable action) {
        events.add(new Event(now + delay.toNanos(), sequence++, action));
    }

    /** A request that is offered to one target after the other. */
    private final class Dispatch {
        private final int organisation;
        private final Kind kind;
        private final long arrived = now;
        private final Optional<OrganisationName> name;
        private final OfferThrottle throttle;
        private final Set<SlotQueue> tried = new HashSet<>();

        Dispatch(int organisation, Kind kind) {
            this.organisation = organisation;
            this.kind = kind;
            this.name = scenario.isNamed()
                    ? Optional.of(OrganisationName.of("organisation-" + organisation))
                    : Optional.empty();
            this.throttle = entries.get(random.nextInt(ENTRIES)).throttle(SERVICE, kind.rank());
        }

        void offer() {
            Duration left = kind.limit().minusNanos(now - arrived);
            if (tried.size() == MAXIMUM_OFFERS || !left.isPositive()) {
                end(Optional.empty());
                return;
            }
            SlotQueue target = choose();
            if (!target.state().isSlotFree() && !throttle.tryOffer(name)) {
                end(Optional.empty());
                return;
            }
            tried.add(target);
            long offered = now;
            Duration maximumWait = Duration.ofNanos((long) (left.toNanos() * MAXIMUM_WAIT_SHARE));
            Duration untilTargetLatency = kind.targetLatency().minusNanos(now - arrived);
            SlotTicket ticket = target.request(
                    SlotRequest.within(kind.targetLatency(), kind.rank(), kind.run(), untilTargetLatency, maximumWait)
                            .withOrganisation(name));
            ticket.onDecision(decision -> at(Duration.ZERO, () -> decide(target, ticket, decision, offered)));
            at(maximumWait, () -> target.withdraw(ticket));
        }

        private void decide(SlotQueue target, SlotTicket ticket, SlotDecision decision, long offered) {
            switch (decision) {
                case SlotDecision.Granted _ -> {
                    throttle.recordTaken();
                    end(Optional.of(Duration.ofNanos(now - arrived)));
                    long run = (long) (kind.run().toNanos() * (0.5 + random.nextDouble()));
                    at(Duration.ofNanos(run), () -> target.release(ticket));
                }
                case SlotDecision.Refused refused -> {
                    if (refused.reason() == SlotDecision.Reason.OVERTAKEN) {
                        throttle.recordOvertaken(refused.expectedWait());
                    } else {
                        throttle.recordRefused(Duration.ofNanos(now - offered).plus(TRIP), refused.expectedWait());
                    }
                    at(TRIP, this::offer);
                }
            }
        }

        private SlotQueue choose() {
            List<SlotQueue> untried =
                    targets.stream().filter(target -> !tried.contains(target)).toList();
            SlotQueue first = untried.get(random.nextInt(untried.size()));
            SlotQueue second = untried.get(random.nextInt(untried.size()));
            return load(first) <= load(second) ? first : second;
        }

        private static int load(SlotQueue target) {
            return target.state().running() + target.state().waiting();
        }

        private void end(Optional<Duration> wait) {
            if (arrived >= BURST.toNanos()) {
                results.add(new Result(organisation, kind, wait));
            }
        }
    }
}
