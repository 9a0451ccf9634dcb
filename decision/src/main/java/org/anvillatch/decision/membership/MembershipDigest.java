package org.anvillatch.decision.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Digest of a view: one hash for each bucket of hosts. Two hosts compare digests and exchange only the buckets in which
 * their views differ. Stateless and thread safe.
 */
public final class MembershipDigest {
    /** Maximum number of buckets of a digest. */
    public static final int MAX_BUCKETS = 512;

    private static final int MEMBERS_PER_BUCKET = 16;

    private MembershipDigest() {}

    /**
     * Chooses the number of buckets for a view.
     *
     * @param members hosts in the view
     * @return a power of two, at most {@link #MAX_BUCKETS}
     */
    public static int buckets(int members) {
        int wanted = Math.max(1, Integer.highestOneBit(members / MEMBERS_PER_BUCKET + 1));
        return Math.min(MAX_BUCKETS, wanted);
    }

    /**
     * Computes the digest of a view.
     *
     * @param members the view
     * @param buckets number of buckets, a power of two
     * @return one hash for each bucket, independent of the order of members
     */
    public static int[] of(Collection<Member> members, int buckets) {
        int[] digest = new int[buckets];
        for (Member member : members) {
            digest[bucketOf(member, buckets)] += hash(
                    member.host().toString() + member.update() + member.status().ordinal());
        }
        return digest;
    }

    /**
     * Finds the buckets in which two digests differ.
     *
     * @param one a digest
     * @param other a digest with the same number of buckets
     * @return numbers of the buckets
     */
    public static Set<Integer> differing(int[] one, int[] other) {
        Set<Integer> differing = new TreeSet<>();
        for (int bucket = 0; bucket < Math.min(one.length, other.length); bucket++) {
            if (one[bucket] != other[bucket]) {
                differing.add(bucket);
            }
        }
        return differing;
    }

    /**
     * Selects the members of some buckets.
     *
     * @param members the view
     * @param wanted numbers of the buckets
     * @param buckets number of buckets of the digest
     * @return members of these buckets
     */
    public static List<Member> select(Collection<Member> members, Set<Integer> wanted, int buckets) {
        List<Member> selected = new ArrayList<>();
        for (Member member : members) {
            if (wanted.contains(bucketOf(member, buckets))) {
                selected.add(member);
            }
        }
        return selected;
    }

    private static int bucketOf(Member member, int buckets) {
        return hash(member.host().name()) & (buckets - 1);
    }

    private static int hash(String text) {
        return MurmurHash3.hash32x86(text.getBytes(StandardCharsets.UTF_8));
    }
}
