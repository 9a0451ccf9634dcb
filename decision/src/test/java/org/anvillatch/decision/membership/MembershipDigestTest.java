package org.anvillatch.decision.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;

import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.model.HostIdentity;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class MembershipDigestTest {
    private static Member member(int number) {
        return new Member(
                new HostIdentity("host-" + number, 1),
                0,
                "a:1",
                "d",
                "s",
                1,
                EndpointPhase.SERVING,
                MemberStatus.ALIVE,
                0);
    }

    private static List<Member> members(int count) {
        List<Member> members = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            members.add(member(number));
        }
        return members;
    }

    @Test
    void equalViewsHaveEqualDigestsInAnyOrder() {
        List<Member> reversed = members(1_000);
        Collections.reverse(reversed);
        int buckets = MembershipDigest.buckets(1_000);
        assertThat(MembershipDigest.of(members(1_000), buckets)).isEqualTo(MembershipDigest.of(reversed, buckets));
    }

    @Test
    void oneChangedMemberChangesOneBucket() {
        List<Member> changed = members(1_000);
        changed.set(77, member(77).withStatus(MemberStatus.DEAD));
        int buckets = MembershipDigest.buckets(1_000);
        Set<Integer> differing = MembershipDigest.differing(
                MembershipDigest.of(members(1_000), buckets), MembershipDigest.of(changed, buckets));
        assertThat(differing).hasSize(1);
        List<Member> exchanged = MembershipDigest.select(changed, differing, buckets);
        assertThat(exchanged).contains(changed.get(77));
        assertThat(exchanged.size()).isLessThan(100);
    }

    @Test
    void numberOfBucketsIsBounded() {
        assertThat(MembershipDigest.buckets(1)).isEqualTo(1);
        assertThat(MembershipDigest.buckets(1_000_000)).isEqualTo(MembershipDigest.MAX_BUCKETS);
    }
}
