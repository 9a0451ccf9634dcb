package org.anvillatch.decision.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.model.HostIdentity;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class MembershipTest {
    private static final long STEP_MICROS = 50_000;

    /** A few hosts on a network without delay that drops all messages from and to partitioned hosts. */
    private static final class Network {
        private final Map<String, Membership> hosts = new HashMap<>();
        private final Map<String, Boolean> partitioned = new HashMap<>();
        private final SplittableRandom random = new SplittableRandom(3);
        private long now;

        private void add(String name, long incarnation) {
            Member self = new Member(
                    new HostIdentity(name, incarnation),
                    0,
                    name,
                    "d",
                    "s",
                    1,
                    EndpointPhase.SERVING,
                    MemberStatus.ALIVE,
                    0);
            hosts.put(name, new Membership(self, List.of("h0")));
        }

        private boolean reaches(String from, String to) {
            return hosts.containsKey(to) && !partitioned.containsKey(from) && !partitioned.containsKey(to);
        }

        private void run(long micros) {
            for (long end = now + micros; now < end; now += STEP_MICROS) {
                for (String name : List.copyOf(hosts.keySet())) {
                    hosts.get(name).tick(now, random).forEach(action -> deliver(name, action));
                }
            }
        }

        private void deliver(String from, MembershipAction action) {
            if (action instanceof MembershipAction.Ping ping && reaches(from, ping.address())) {
                exchange(from, ping.address());
                hosts.get(from).answered(ping.target());
            } else if (action instanceof MembershipAction.Synchronize all && reaches(from, all.address())) {
                hosts.get(all.address()).mergeUpdates(hosts.get(from).all(), now);
                hosts.get(from).mergeUpdates(hosts.get(all.address()).all(), now);
            }
        }

        private void exchange(String from, String to) {
            hosts.get(to).mergeUpdates(hosts.get(from).updatesToSend(), now);
            hosts.get(from).mergeUpdates(hosts.get(to).updatesToSend(), now);
        }

        private long presentCount(String name) {
            return hosts.get(name).all().stream()
                    .filter(member -> member.status().isPresent())
                    .count();
        }
    }

    private static Network network(int hosts) {
        Network network = new Network();
        for (int index = 0; index < hosts; index++) {
            network.add("h" + index, 1);
        }
        network.run(20_000_000);
        return network;
    }

    @Test
    void everyHostDiscoversEveryHost() {
        Network network = network(12);
        network.hosts
                .keySet()
                .forEach(name -> assertThat(network.presentCount(name)).isEqualTo(12));
    }

    @Test
    void hostThatDoesNotAnswerBecomesDead() {
        Network network = network(8);
        network.partitioned.put("h3", true);
        network.run(20_000_000);
        assertThat(network.hosts.get("h0").find("h3").status()).isEqualTo(MemberStatus.DEAD);
    }

    @Test
    void partitionedHostRefutesItsDeath() {
        Network network = network(8);
        network.partitioned.put("h3", true);
        network.run(20_000_000);
        network.partitioned.clear();
        network.run(30_000_000);
        network.hosts
                .keySet()
                .forEach(name -> assertThat(network.presentCount(name)).isEqualTo(8));
    }

    @Test
    void laterIncarnationReplacesAnEarlierOne() {
        Network network = network(5);
        network.hosts.remove("h4");
        network.add("h4", 2);
        network.run(20_000_000);
        assertThat(network.hosts.get("h1").find("h4").host().incarnation()).isEqualTo(2);
    }

    @Test
    void hostThatLeftIsNotRevivedByAnOldUpdate() {
        Network network = network(5);
        Member before = network.hosts.get("h2").self();
        network.hosts.get("h2").leave();
        network.run(3_000_000);
        Membership other = network.hosts.get("h1");
        other.mergeUpdates(List.of(before), network.now);
        assertThat(other.find("h2").status()).isEqualTo(MemberStatus.LEFT);
    }

    private static Member member(String name, long incarnation, MemberStatus status) {
        return new Member(new HostIdentity(name, incarnation), 0, name, "d", "s", 1, EndpointPhase.SERVING, status, 0);
    }

    @Test
    void hostWhoseClockWasSetBackTakesTheNextIncarnation() {
        Membership membership = new Membership(member("h0", 5, MemberStatus.ALIVE), List.of());
        membership.mergeUpdates(List.of(member("h0", 9, MemberStatus.LEFT)), 0);
        assertThat(membership.self().host().incarnation()).isEqualTo(10);
        assertThat(membership.self().status()).isEqualTo(MemberStatus.ALIVE);
    }

    @Test
    void deadHostIsPingedAgain() {
        Membership membership = new Membership(member("h0", 1, MemberStatus.ALIVE), List.of());
        membership.mergeUpdates(List.of(member("h1", 1, MemberStatus.ALIVE)), 0);
        membership.mergeUpdates(List.of(member("h1", 1, MemberStatus.DEAD)), 0);
        List<MembershipAction> actions = membership.tick(Membership.PROTOCOL_PERIOD_MICROS, new SplittableRandom(1));
        assertThat(actions).contains(new MembershipAction.Ping("h1", "h1"));
    }
}
