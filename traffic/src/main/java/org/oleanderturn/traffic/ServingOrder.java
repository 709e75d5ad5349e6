package org.oleanderturn.traffic;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.oleanderturn.model.OrganisationName;

/**
 * The order in which waiting requests of a {@link SlotQueue} are served at one moment.
 *
 * <p>Requests that can still meet their soft deadline go before late ones, then the rank decides, then the share of the
 * organisation, then the soft deadline. A late request within its organisation's share counts as one in time: it is late
 * because others were served before it, and would otherwise stand behind all that the largest organisation sends. Each
 * further request of an organisation starts later in virtual time by the runs before it.
 *
 * <p>Invariant: without organisations the share decides nothing. Valid until the queue changes.
 */
final class ServingOrder implements Comparator<SlotTicket> {
    private static final Comparator<SlotTicket> BY_SOFT_DEADLINE =
            Comparator.comparingLong(SlotTicket::softDeadlineNanoseconds).thenComparingLong(SlotTicket::sequence);

    private final OrganisationShares shares;
    private final Map<SlotTicket, Long> starts;
    private final Comparator<SlotTicket> order;

    private ServingOrder(OrganisationShares shares, Map<SlotTicket, Long> starts, Predicate<SlotTicket> isLate) {
        this.shares = shares;
        this.starts = starts;
        this.order = Comparator.comparing((SlotTicket ticket) -> isLate.test(ticket) && !isWithinShare(ticket))
                .thenComparingInt(SlotTicket::rank)
                .thenComparingLong(this::start)
                .thenComparing(BY_SOFT_DEADLINE);
    }

    /** Returns the order of the waiting requests, of which some are late. */
    static ServingOrder of(Collection<SlotTicket> waiting, OrganisationShares shares, Predicate<SlotTicket> isLate) {
        return new ServingOrder(shares, starts(waiting, shares, isLate), isLate);
    }

    @Override
    public int compare(SlotTicket first, SlotTicket second) {
        return order.compare(first, second);
    }

    /** Returns whether a request is one of an organisation that has not had its share. */
    private boolean isWithinShare(SlotTicket ticket) {
        return ticket.organisation().isPresent() && start(ticket) <= shares.virtualTime(ticket.rank());
    }

    private long start(SlotTicket ticket) {
        Long known = starts.get(ticket);
        return known == null ? shares.start(ticket.rank(), ticket.organisation()) : known;
    }

    private record Sender(int rank, OrganisationName organisation) {}

    /** Returns the starts of the requests that have an organisation. */
    private static Map<SlotTicket, Long> starts(
            Collection<SlotTicket> waiting, OrganisationShares shares, Predicate<SlotTicket> isLate) {
        List<SlotTicket> shared = waiting.stream()
                .filter(ticket -> ticket.organisation().isPresent())
                .sorted(Comparator.comparing(isLate::test).thenComparing(BY_SOFT_DEADLINE))
                .toList();
        Map<SlotTicket, Long> starts = new HashMap<>();
        Map<Sender, Long> next = new HashMap<>();
        for (SlotTicket ticket : shared) {
            Sender sender = new Sender(ticket.rank(), ticket.organisation().orElseThrow());
            long start = next.computeIfAbsent(sender, _ -> shares.start(ticket.rank(), ticket.organisation()));
            starts.put(ticket, start);
            next.put(sender, start + ticket.expectedRunNanoseconds());
        }
        return starts;
    }
}
