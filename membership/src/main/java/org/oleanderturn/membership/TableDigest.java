package org.oleanderturn.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Digests of a table's records, which are hashed into {@value #BUCKETS} buckets by node. Tables with equal digests are
 * taken to contain the same records, apart from held versions.
 *
 * <p>Immutable and thread safe.
 */
record TableDigest(List<Integer> buckets) {
    static final int BUCKETS = 128;
    private static final int HASH_MULTIPLIER = 0x9E3779B9;

    TableDigest {
        buckets = List.copyOf(buckets);
    }

    static TableDigest of(Iterable<MemberEntry> entries) {
        int[] sums = new int[BUCKETS];
        for (MemberEntry entry : entries) {
            sums[bucketOf(entry.record())] += digestOf(entry.record());
        }
        List<Integer> buckets = new ArrayList<>(BUCKETS);
        for (int sum : sums) {
            buckets.add(sum);
        }
        return new TableDigest(buckets);
    }

    /** Returns a single digest of all buckets. */
    int combined() {
        return buckets.hashCode();
    }

    /** Returns the indexes of the buckets that differ from another table's; all if the other has a different number. */
    List<Integer> differingBuckets(List<Integer> others) {
        List<Integer> differing = new ArrayList<>();
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            if (others.size() != BUCKETS || !buckets.get(bucket).equals(others.get(bucket))) {
                differing.add(bucket);
            }
        }
        return differing;
    }

    static int bucketOf(MemberRecord record) {
        return Math.floorMod(mix(record.node().value().hashCode()), BUCKETS);
    }

    private static int digestOf(MemberRecord record) {
        int digest = mix(record.node().value().hashCode());
        digest = mix(digest ^ Long.hashCode(record.incarnation()));
        digest = mix(digest ^ record.liveness().name().hashCode());
        return mix(digest ^ record.endpoint().state().name().hashCode());
    }

    private static int mix(int number) {
        int mixed = (number ^ (number >>> 16)) * HASH_MULTIPLIER;
        return mixed ^ (mixed >>> 15);
    }
}
