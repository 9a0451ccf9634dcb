package org.anvillatch.decision.allowance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.ToIntFunction;

/**
 * Hosts with an {@link AllowanceAgent} each, gossip and a network with faults, on a simulated clock. Not thread safe.
 */
final class AllowanceModel {
    static final long SECOND = 1_000_000;
    private static final long GOSSIP_PERIOD = SECOND / 2;
    private static final long TICK_PERIOD = SECOND / 10;
    private static final long DEATH_TIMEOUT = 3 * SECOND;

    /** A request that was decided. */
    record Decided(String team, long micros, boolean granted, long retryMicros) {}

    private record Event(long micros, long number, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return micros == other.micros ? Long.compare(number, other.number) : Long.compare(micros, other.micros);
        }
    }

    /** What a host knows of another by gossip; a host that has left stays known as such. */
    private record Known(String domain, int incarnation, long heardMicros, boolean left) {
        private Known newer(Known other) {
            if (incarnation != other.incarnation) {
                return incarnation > other.incarnation ? this : other;
            }
            return left || !other.left && heardMicros >= other.heardMicros ? this : other;
        }
    }

    final class SimulatedHost {
        final String name;
        final String domain;
        private final Map<String, Known> known = new TreeMap<>();
        private final Map<Long, String> teamByTicket = new HashMap<>();
        private AllowanceAgent agent;
        private int incarnation;
        private long pausedUntil;
        private int side;

        private SimulatedHost(String name, String domain) {
            this.name = name;
            this.domain = domain;
        }

        boolean isServing() {
            return agent != null && pausedUntil <= now;
        }

        void start() {
            incarnation++;
            agent = new AllowanceAgent(name, domain, random.split());
            known.clear();
            known.put(name, new Known(domain, incarnation, now, false));
            agent.updateAllowances(allowances, now);
            later(this, 0, this::gossip);
            later(this, random.nextLong(TICK_PERIOD), this::tick);
        }

        void crash() {
            agent = null;
            incarnation++;
            teamByTicket.clear();
        }

        void pause(long micros) {
            pausedUntil = now + micros;
        }

        /** Leaves as planned, so that others take its slots. */
        void leave() {
            known.put(name, new Known(domain, incarnation, now, true));
            updateView();
            hosts.values().stream().filter(this::reaches).forEach(other -> other.known.put(name, known.get(name)));
            later(this, SECOND / 10, this::crash);
        }

        private boolean reaches(SimulatedHost other) {
            return other.isServing() && other.side == side;
        }

        private void tick() {
            perform(agent.tick(now));
            later(this, TICK_PERIOD, this::tick);
        }

        private void gossip() {
            List<SimulatedHost> reachable =
                    hosts.values().stream().filter(this::reaches).toList();
            SimulatedHost peer = reachable.get(random.nextInt(reachable.size()));
            for (SimulatedHost host : reachable) {
                // Pings and indirect pings keep a known host alive; a host becomes known through one that knows it.
                known.computeIfPresent(
                        host.name,
                        (key, value) -> value.newer(new Known(value.domain(), value.incarnation(), now, false)));
            }
            peer.known.forEach((key, value) -> known.merge(key, value, Known::newer));
            known.forEach((key, value) -> peer.known.merge(key, value, Known::newer));
            updateView();
            peer.updateView();
            later(this, GOSSIP_PERIOD, this::gossip);
        }

        private void updateView() {
            List<Roster.Host> view = new ArrayList<>();
            known.forEach((key, value) -> {
                if (!value.left()) {
                    boolean present = key.equals(name) || now - value.heardMicros() < DEATH_TIMEOUT;
                    view.add(new Roster.Host(key, value.domain(), present));
                }
            });
            if (agent != null) {
                agent.updateHosts(view, false, now);
            }
        }

        void request(String team) {
            long ticket = nextNumber++;
            teamByTicket.put(ticket, team);
            perform(agent.acquire(team, ticket, now));
        }

        private void perform(List<AllowanceAction> actions) {
            for (AllowanceAction action : actions) {
                if (action instanceof AllowanceAction.Ask ask) {
                    send(ask);
                } else if (action instanceof AllowanceAction.Claim claim) {
                    SimulatedHost witness = hosts.get(claim.witness());
                    transmit(this, witness, () -> {
                        Roster.Ranking ranking = witness.agent.rank(claim.slot());
                        transmit(witness, this, () -> agent.claimAnswered(claim, ranking, now));
                    });
                } else if (action instanceof AllowanceAction.Grant grant) {
                    decide(grant.ticket(), true, 0);
                } else if (action instanceof AllowanceAction.Refuse refuse) {
                    decide(refuse.ticket(), false, refuse.retryMicros());
                }
            }
        }

        private void decide(long ticket, boolean granted, long retryMicros) {
            String team = teamByTicket.remove(ticket);
            if (granted && random.nextDouble() < releaseRate) {
                later(this, random.nextLong(SECOND / 20), () -> agent.release(team));
            } else {
                decisions.add(new Decided(team, now, granted, retryMicros));
            }
        }

        private void send(AllowanceAction.Ask ask) {
            messages++;
            SimulatedHost owner = hosts.get(ask.owner());
            transmit(this, owner, () -> {
                TokenAnswer answer = owner.agent.serve(name, ask.request(), now);
                transmit(owner, this, () -> perform(agent.answered(owner.name, answer, now)));
            });
            if (ask.request().needed() > 0) {
                later(this, Allowance.MIN_VALIDITY_MICROS, () -> perform(agent.failed(ask, now)));
            }
        }
    }

    final SplittableRandom random;
    final Map<String, SimulatedHost> hosts = new TreeMap<>();
    final List<Decided> decisions = new ArrayList<>();
    final List<Allowance> allowances;
    double lossRate;
    double delayRate;
    double releaseRate;
    long now;
    long messages;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nextNumber;

    AllowanceModel(long seed, List<Allowance> allowances) {
        this.random = new SplittableRandom(seed);
        this.allowances = allowances;
    }

    SimulatedHost addHost(String name, String domain) {
        return hosts.computeIfAbsent(name, key -> new SimulatedHost(name, domain));
    }

    /** Divides the hosts into sides that do not reach each other. */
    void partition(ToIntFunction<SimulatedHost> side) {
        hosts.values().forEach(host -> host.side = side.applyAsInt(host));
    }

    void later(long micros, Runnable task) {
        events.add(new Event(now + micros, nextNumber++, task));
    }

    /** Runs a task of a host, after its pause and unless it has crashed since. */
    private void later(SimulatedHost host, long micros, Runnable task) {
        int incarnation = host.incarnation;
        later(micros, () -> runUnlessPaused(host, incarnation, task));
    }

    private void runUnlessPaused(SimulatedHost host, int incarnation, Runnable task) {
        if (host.agent == null || host.incarnation != incarnation) {
            return;
        }
        if (host.pausedUntil > now) {
            later(host.pausedUntil - now, () -> runUnlessPaused(host, incarnation, task));
        } else {
            task.run();
        }
    }

    private void transmit(SimulatedHost from, SimulatedHost to, Runnable delivery) {
        if (from.side != to.side || random.nextDouble() < lossRate) {
            return;
        }
        long delay = 200 + random.nextLong(800);
        if (random.nextDouble() < delayRate) {
            delay += random.nextLong(2 * SECOND);
        }
        // A request in flight reaches a host that restarts meanwhile; an answer to an earlier incarnation does not.
        later(to, delay, delivery);
    }

    /** Sends requests of a team with exponential intervals until the end of the run. */
    void sendRequests(String team, Demand demand) {
        later((long) (-Math.log(1 - random.nextDouble()) * SECOND / demand.perSecond(now)), () -> {
            SimulatedHost host = demand.chooseHost(now);
            if (host != null && host.agent != null) {
                later(host, 0, () -> host.request(team));
            }
            sendRequests(team, demand);
        });
    }

    /** Requests of a team. */
    interface Demand {
        double perSecond(long micros);

        SimulatedHost chooseHost(long micros);
    }

    void run(long untilMicros) {
        while (!events.isEmpty() && events.peek().micros() <= untilMicros) {
            Event event = events.remove();
            now = event.micros();
            event.task().run();
        }
        now = untilMicros;
    }
}
