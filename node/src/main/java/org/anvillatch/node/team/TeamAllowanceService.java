package org.anvillatch.node.team;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.allowance.Allowance;
import org.anvillatch.decision.allowance.AllowanceAction;
import org.anvillatch.decision.allowance.AllowanceAgent;
import org.anvillatch.decision.allowance.AllowanceCounts;
import org.anvillatch.decision.allowance.Roster;
import org.anvillatch.decision.allowance.SlotId;
import org.anvillatch.decision.allowance.TokenAnswer;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.membership.Membership;
import org.anvillatch.decision.team.Team;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.peer.AllowanceMessages;
import org.anvillatch.node.peer.PeerClient;
import org.anvillatch.node.peer.PeerMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits the requests of teams over all hosts: sends the messages that {@link AllowanceAgent} requests and answers those
 * of other hosts. Requests to one host that are due at the same time share a message.
 *
 * <p>Invariants: each reply is called exactly once; without allowances nothing is sent. Not thread safe: all methods are
 * called on the decision loop.
 */
public final class TeamAllowanceService implements TeamAllowances {
    /** Time between two ticks, in microseconds. */
    public static final long TICK_PERIOD_MICROS = 100_000;

    private static final Logger LOG = LoggerFactory.getLogger(TeamAllowanceService.class);

    /** Maximum wait for the answer to a claim, in microseconds. */
    private static final long CLAIM_TIMEOUT_MICROS = 400_000;

    /**
     * Time after which a host that never had the address of another owns all slots, in microseconds. By then it has read
     * the directory of hosts, if it has one.
     */
    private static final long ALONE_MICROS = 2_000_000;

    /** Sends requests to other hosts. */
    public interface Sender {
        /**
         * Sends a request.
         *
         * @param address IP address and port
         * @param message the request
         * @param timeoutMicros maximum wait for the answer
         * @param listener receives the answer, on the loop
         */
        void send(String address, PeerMessage message, long timeoutMicros, PeerClient.AnswerListener listener);
    }

    private final DecisionLoop loop;
    private final HostState state;
    private final Sender sender;
    private final AllowanceAgent agent;
    private final RefusalLog refusalLog = new RefusalLog();
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private final Map<String, List<AllowanceAction.Ask>> dueAsks = new LinkedHashMap<>();
    private final long startMicros;
    private long nextTicket;
    private long membershipVersion = -1;
    private MemberStatus ownStatus;
    private boolean mayOwnAlone;

    private record PendingRequest(String team, Consumer<Verdict> reply) {}

    /**
     * Creates the service.
     *
     * @param loop runs the callbacks
     * @param state decision state of the host
     * @param sender sends requests to other hosts
     * @param metrics registry for the metrics of all teams together
     */
    public TeamAllowanceService(DecisionLoop loop, HostState state, Sender sender, MetricRegistry metrics) {
        this.loop = loop;
        this.state = state;
        this.sender = sender;
        this.startMicros = loop.nowMicros();
        Member self = state.membership().self();
        this.agent = new AllowanceAgent(self.host().name(), self.domain(), state.random());
        registerMetrics(metrics);
    }

    private void registerMetrics(MetricRegistry metrics) {
        register(metrics, "allowances.granted", AllowanceCounts::granted);
        register(metrics, "allowances.refused", AllowanceCounts::refused);
        register(metrics, "allowances.released", AllowanceCounts::released);
        register(metrics, "allowances.asked", AllowanceCounts::asked);
        register(metrics, "allowances.unanswered", AllowanceCounts::silent);
        register(metrics, "allowances.reserve_tokens", AllowanceCounts::reserveTokens);
        metrics.register("allowances.slots_owned", (Gauge<Integer>) agent::ownedSlots);
        metrics.register("allowances.slots_unconfirmed", (Gauge<Integer>) agent::unconfirmedSlots);
    }

    private void register(MetricRegistry metrics, String name, ToLongFunction<AllowanceCounts> count) {
        metrics.register(name, (Gauge<Long>) () -> count.applyAsLong(agent.counts()));
    }

    /** Applies the allowances of the current teams. */
    public void teamsChanged() {
        update(state.routes().teams().all().stream()
                .filter(Team::hasAllowance)
                .map(team -> new Allowance(team.name(), team.ratePerSecond(), team.burst()))
                .toList());
    }

    /**
     * Applies the allowances of a configuration.
     *
     * @param allowances allowances of all teams that have one
     */
    void update(Collection<Allowance> allowances) {
        if (agent.isActive() || !allowances.isEmpty()) {
            LOG.info("allowances teams={}", allowances.size());
            updateHosts();
            perform(agent.updateAllowances(allowances, loop.nowMicros()));
        }
    }

    @Override
    public void acquire(String team, long nowMicros, Consumer<Verdict> reply) {
        long ticket = nextTicket++;
        pending.put(ticket, new PendingRequest(team, reply));
        perform(agent.acquire(team, ticket, nowMicros));
    }

    @Override
    public void release(String team) {
        agent.release(team);
    }

    /** Performs the periodic work. */
    public void tick() {
        if (agent.isActive()) {
            updateHosts();
            perform(agent.tick(loop.nowMicros()));
            refusalLog.writeIfDue(loop.nowMicros(), agent);
        }
    }

    private void updateHosts() {
        Membership membership = state.membership();
        boolean alone = isAlone(membership);
        MemberStatus status = membership.self().status();
        if (membership.version() == membershipVersion && alone == mayOwnAlone && status == ownStatus) {
            return;
        }
        membershipVersion = membership.version();
        mayOwnAlone = alone;
        ownStatus = status;
        List<Roster.Host> hosts = new ArrayList<>();
        for (Member member : membership.all()) {
            if (member.status() != MemberStatus.LEFT) {
                hosts.add(new Roster.Host(
                        member.host().name(), member.domain(), member.status().isPresent()));
            }
        }
        agent.updateHosts(hosts, alone, loop.nowMicros());
    }

    /** Returns whether a view without another host is complete, and not that of a host that has reached none yet. */
    private boolean isAlone(Membership membership) {
        long age = loop.nowMicros() - startMicros;
        return membership.size() > 1
                || age > Membership.DEAD_RETENTION_MICROS
                || !membership.hasSeeds() && age > ALONE_MICROS;
    }

    private void perform(List<AllowanceAction> actions) {
        Map<String, List<SlotId>> claims = new LinkedHashMap<>();
        for (AllowanceAction action : actions) {
            if (action instanceof AllowanceAction.Grant grant) {
                pending.remove(grant.ticket()).reply().accept(Verdict.GRANTED);
            } else if (action instanceof AllowanceAction.Refuse refuse) {
                PendingRequest request = pending.remove(refuse.ticket());
                refusalLog.record(request.team(), refuse.retryMicros());
                request.reply().accept(Verdict.refused(refuse.retryMicros()));
            } else if (action instanceof AllowanceAction.Ask ask) {
                if (dueAsks.isEmpty()) {
                    loop.execute(this::sendDueAsks);
                }
                dueAsks.computeIfAbsent(ask.owner(), owner -> new ArrayList<>(1))
                        .add(ask);
            } else if (action instanceof AllowanceAction.Claim claim) {
                claims.computeIfAbsent(claim.witness(), witness -> new ArrayList<>())
                        .add(claim.slot());
            }
        }
        claims.forEach(this::sendClaims);
    }

    private void sendDueAsks() {
        Map<String, List<AllowanceAction.Ask>> asks = new LinkedHashMap<>(dueAsks);
        dueAsks.clear();
        asks.forEach(this::sendAsks);
    }

    private void sendAsks(String owner, List<AllowanceAction.Ask> asks) {
        PeerMessage message = new AllowanceMessages.TokensRequest(
                state.membership().self().host().name(),
                asks.stream().map(AllowanceAction.Ask::request).toList());
        send(owner, message, Allowance.MIN_VALIDITY_MICROS, answer -> {
            for (int index = 0; index < asks.size(); index++) {
                AllowanceAction.Ask ask = asks.get(index);
                TokenAnswer tokens = answerTo(ask, answer, index);
                perform(
                        tokens == null
                                ? agent.failed(ask, loop.nowMicros())
                                : agent.answered(owner, tokens, loop.nowMicros()));
            }
        });
    }

    /** Returns the answer to one request, or null if the other host sent none. */
    private static TokenAnswer answerTo(AllowanceAction.Ask ask, PeerMessage message, int index) {
        if (message instanceof AllowanceMessages.TokensAnswer all
                && index < all.answers().size()) {
            TokenAnswer answer = all.answers().get(index);
            return ask.request().slot().equals(answer.slot()) ? answer : null;
        }
        return null;
    }

    private void sendClaims(String witness, List<SlotId> slots) {
        send(witness, new AllowanceMessages.ClaimRequest(slots), CLAIM_TIMEOUT_MICROS, answer -> {
            if (answer instanceof AllowanceMessages.ClaimAnswer claim) {
                int answered = Math.min(slots.size(), claim.rankings().size());
                for (int index = 0; index < answered; index++) {
                    agent.claimAnswered(
                            new AllowanceAction.Claim(witness, slots.get(index)),
                            claim.rankings().get(index),
                            loop.nowMicros());
                }
            }
        });
    }

    /** Sends a request; the handler gets the answer, or null if there is none. */
    private void send(String host, PeerMessage message, long timeoutMicros, Consumer<PeerMessage> handler) {
        Member member = state.membership().find(host);
        if (member == null) {
            handler.accept(null);
            return;
        }
        sender.send(member.address(), message, timeoutMicros, new PeerClient.AnswerListener() {
            @Override
            public void answered(PeerMessage answer) {
                handler.accept(answer);
            }

            @Override
            public void failed(PeerClient.PeerFailure failure) {
                LOG.debug("no answer from {}: {}", host, failure);
                handler.accept(null);
            }
        });
    }

    /**
     * Answers a request for tokens.
     *
     * @param message the request
     * @return the answer
     */
    public AllowanceMessages.TokensAnswer answer(AllowanceMessages.TokensRequest message) {
        updateHosts();
        long now = loop.nowMicros();
        return new AllowanceMessages.TokensAnswer(message.requests().stream()
                .map(request -> agent.serve(message.host(), request, now))
                .toList());
    }

    /**
     * Answers a claim of slots.
     *
     * @param message the claim
     * @return the answer
     */
    public AllowanceMessages.ClaimAnswer answer(AllowanceMessages.ClaimRequest message) {
        // Gives up the slots that the sender claims, if it was not known until now.
        updateHosts();
        return new AllowanceMessages.ClaimAnswer(
                message.slots().stream().map(agent::rank).toList());
    }
}
