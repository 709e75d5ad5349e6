package org.oleanderturn.traffic;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oleanderturn.model.OrganisationName;

/**
 * Shares the slots of a target among organisations, apart for each rank.
 *
 * <p>The load is one organisation within its limit that sends six times its usual requests while a less urgent kind of
 * request doubles, above what the targets can run. In the order of deadlines, an organisation gets room in proportion to
 * what it asks for, so that the wait of the small ones grows with the demand of the large one.
 *
 * <p>This is fair queueing by start times: a run moves its organisation's finish in virtual time on by the time that it
 * holds the slot, and the virtual time of the rank is the latest start that was granted. Whoever is granted the earliest
 * start first gets max-min fairness, and an organisation that asks alone gets all slots. An organisation of which far
 * less than of all others is served starts as if it had run nothing: bounded by the others' needs alone, the largest
 * might get next to nothing.
 *
 * <p>Requests without an organisation start at the virtual time and move nothing. Most of them are calls of runs whose
 * slots were shared at their own target.
 *
 * <p>Invariants: at most {@link #MAXIMUM_ACCOUNTS} organisations are held, and none that has not asked for
 * {@link #RETENTION_NANOSECONDS}, once another one asks. For use under the lock of its queue.
 */
final class OrganisationShares {
    /** More than organisations ask at one target within the retention; bounds the memory to less than 100 KB. */
    static final int MAXIMUM_ACCOUNTS = 1_024;

    /** What an organisation ran longer ago does not count; bursts of demand last for seconds. */
    static final long RETENTION_NANOSECONDS = 5_000_000_000L;

    /** Slot time that an organisation can be ahead, so that one which used idle slots waits for seconds at most. */
    private static final long MAXIMUM_LEAD_NANOSECONDS = 1_000_000_000L;

    /** Requests and grants count less by this time constant. */
    private static final double TIME_CONSTANT_NANOSECONDS = 3e9;

    /** The bound of the requirements is a quarter of the overall share; the rest allows for what entries and targets differ. */
    private static final double LEAST_PART_OF_OVERALL_SHARE = 0.5;

    private final Map<Integer, Rank> ranks = new HashMap<>();
    private int accounts;

    /** An organisation within a rank. */
    private record Key(int rank, OrganisationName organisation) {}

    /** Counts of requests and grants, where older ones count less. */
    private static final class Usage {
        private double requested;
        private double granted;
        private long nanoseconds;

        void add(double furtherRequested, double furtherGranted, long now) {
            double factor = factorAt(now);
            requested = requested * factor + furtherRequested;
            granted = granted * factor + furtherGranted;
            nanoseconds = now;
        }

        double factorAt(long now) {
            return Math.exp(-Math.max(0, now - nanoseconds) / TIME_CONSTANT_NANOSECONDS);
        }

        /** Returns the share of requests that was granted; all decay alike, so that it does not depend on the time. */
        double share() {
            return requested > 0 ? granted / requested : 1;
        }
    }

    private static final class Account {
        private final Usage usage = new Usage();
        private long finish;
    }

    private static final class Rank {
        private final Map<OrganisationName, Account> accounts = new HashMap<>();
        private final Usage usage = new Usage();
        private long virtualTime;

        /** Returns whether so little of an organisation's requests is granted that it goes before its turn. */
        boolean isDeprived(Account account) {
            return account.usage.share() < LEAST_PART_OF_OVERALL_SHARE * usage.share();
        }

        long start(Account account) {
            return isDeprived(account) ? virtualTime : Math.max(virtualTime, account.finish);
        }
    }

    // -- queries

    /** Returns the virtual time at which the next request of an organisation would start. */
    long start(int rank, Optional<OrganisationName> organisation) {
        Rank shared = ranks.get(rank);
        if (shared == null) {
            return 0;
        }
        return account(shared, organisation).map(shared::start).orElse(shared.virtualTime);
    }

    /** Returns whether an organisation has had more than its share, so that others go first. */
    boolean isOverShare(int rank, Optional<OrganisationName> organisation) {
        Rank shared = ranks.get(rank);
        return shared != null
                && account(shared, organisation).map(shared::start).orElse(shared.virtualTime) > shared.virtualTime;
    }

    /** Returns the virtual time of a rank; a request that starts later is beyond its organisation's share. */
    long virtualTime(int rank) {
        Rank shared = ranks.get(rank);
        return shared == null ? 0 : shared.virtualTime;
    }

    /** Returns how many pairs of a rank and an organisation are held. */
    int size() {
        return accounts;
    }

    private static Optional<Account> account(Rank shared, Optional<OrganisationName> organisation) {
        return organisation.map(shared.accounts::get);
    }

    // -- commands

    /** Records that an organisation asks for a slot. */
    void recordRequest(int rank, OrganisationName organisation, long now) {
        Rank shared = ranks.computeIfAbsent(rank, _ -> new Rank());
        Account account = shared.accounts.get(organisation);
        if (account == null) {
            makeRoom(now);
            // Making room may have removed the rank with its last organisation.
            shared = ranks.computeIfAbsent(rank, _ -> new Rank());
            account = new Account();
            shared.accounts.put(organisation, account);
            accounts++;
        }
        account.usage.add(1, 0, now);
        shared.usage.add(1, 0, now);
    }

    /** Records that an organisation was granted a slot, which it is expected to hold for a time. */
    void recordGrant(int rank, OrganisationName organisation, long runNanoseconds, long now) {
        Rank shared = ranks.get(rank);
        Account account = shared == null ? null : shared.accounts.get(organisation);
        if (account == null) {
            return;
        }
        long start = shared.start(account);
        shared.virtualTime = Math.max(shared.virtualTime, start);
        long finish = Math.max(shared.virtualTime, account.finish) + runNanoseconds;
        account.finish = Math.min(finish, shared.virtualTime + MAXIMUM_LEAD_NANOSECONDS);
        account.usage.add(0, 1, now);
        shared.usage.add(0, 1, now);
    }

    /** Records by how much longer than expected an organisation held a slot; negative if it was shorter. */
    void recordDifference(int rank, OrganisationName organisation, long nanoseconds) {
        Rank shared = ranks.get(rank);
        Account account = shared == null ? null : shared.accounts.get(organisation);
        if (account != null) {
            account.finish = Math.min(account.finish + nanoseconds, shared.virtualTime + MAXIMUM_LEAD_NANOSECONDS);
        }
    }

    // -- memory

    /** Forgets the organisations that have not asked for long, and the one that asked longest ago if that is not enough. */
    private void makeRoom(long now) {
        for (Rank shared : ranks.values()) {
            shared.accounts.values().removeIf(account -> now - account.usage.nanoseconds > RETENTION_NANOSECONDS);
        }
        ranks.values().removeIf(shared -> shared.accounts.isEmpty());
        accounts = ranks.values().stream()
                .mapToInt(shared -> shared.accounts.size())
                .sum();
        if (accounts >= MAXIMUM_ACCOUNTS) {
            oldest().ifPresent(key -> ranks.get(key.rank()).accounts.remove(key.organisation()));
            accounts--;
        }
    }

    private Optional<Key> oldest() {
        return ranks.entrySet().stream()
                .flatMap(rank -> rank.getValue().accounts.keySet().stream()
                        .map(organisation -> new Key(rank.getKey(), organisation)))
                .min(Comparator.comparingLong(
                        key -> ranks.get(key.rank()).accounts.get(key.organisation()).usage.nanoseconds));
    }
}
