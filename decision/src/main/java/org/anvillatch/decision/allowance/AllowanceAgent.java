package org.anvillatch.decision.allowance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Decides on one host which requests of teams are within their allowances. A team's allowance is divided into slots;
 * each is a token bucket at one host, from which all hosts get tokens.
 *
 * <p>Invariants: each ticket is granted or refused exactly once, given an answer or a failure for each
 * {@link AllowanceAction.Ask} that needs tokens; over all hosts, the requests of a team in any 5 s stay within the bound
 * of {@link Allowance}. Not thread safe: owned by the host's decision loop.
 */
public final class AllowanceAgent {
    private final OwnedSlots owned;
    private final HostView view;
    private final RandomGenerator random;
    private final AllowanceCounts counts = new AllowanceCounts();
    private final Map<String, TeamStock> stocks = new HashMap<>();
    private Map<String, Allowance> allowances = Map.of();
    private boolean ownsAlone;

    /**
     * Creates an agent that knows no allowance.
     *
     * @param self name of this host
     * @param domain failure domain of this host
     * @param random source of randomness
     */
    public AllowanceAgent(String self, String domain, RandomGenerator random) {
        this.owned = new OwnedSlots(self);
        this.view = new HostView(self, domain, owned);
        this.random = random;
    }

    /**
     * Applies the allowances of a configuration.
     *
     * @param current all allowances
     * @param nowMicros current time in microseconds
     * @return decisions about requests whose team has no allowance any more
     */
    public List<AllowanceAction> updateAllowances(Collection<Allowance> current, long nowMicros) {
        Map<String, Allowance> byTeam = new HashMap<>();
        current.forEach(allowance -> byTeam.put(allowance.team(), allowance));
        allowances = byTeam;
        List<AllowanceAction> actions = new ArrayList<>();
        for (String team : List.copyOf(stocks.keySet())) {
            if (byTeam.containsKey(team)) {
                stocks.get(team).configure(byTeam.get(team));
            } else {
                stocks.remove(team).drainWaiting().forEach(ticket -> actions.add(new AllowanceAction.Grant(ticket)));
            }
        }
        owned.update(allowances, view.roster(), ownsAlone, nowMicros);
        return actions;
    }

    /**
     * Applies a view of the hosts.
     *
     * @param hosts all hosts that are known and have not left
     * @param mayOwnAlone whether this host owns all slots if it knows no other host
     * @param nowMicros current time in microseconds
     */
    public void updateHosts(List<Roster.Host> hosts, boolean mayOwnAlone, long nowMicros) {
        boolean changed = view.update(hosts);
        if (changed || mayOwnAlone != ownsAlone) {
            ownsAlone = mayOwnAlone;
            owned.update(allowances, view.roster(), ownsAlone, nowMicros);
        }
    }

    /**
     * Requests the admission of a request.
     *
     * @param team name of the team
     * @param ticket number of the request, which the decision names
     * @param nowMicros current time in microseconds
     * @return actions; the decision may be among them or follow later
     */
    public List<AllowanceAction> acquire(String team, long ticket, long nowMicros) {
        Allowance allowance = allowances.get(team);
        if (allowance == null) {
            return List.of(new AllowanceAction.Grant(ticket));
        }
        List<AllowanceAction> actions = new ArrayList<>(1);
        stocks.computeIfAbsent(team, name -> new TeamStock(allowance, view, counts, random))
                .acquire(ticket, nowMicros, actions);
        return actions;
    }

    /**
     * Takes back the token of a granted request that was not run.
     *
     * @param team name of the team
     */
    public void release(String team) {
        TeamStock stock = stocks.get(team);
        if (stock != null) {
            stock.release();
        }
    }

    /**
     * Handles the answer to an {@link AllowanceAction.Ask}.
     *
     * @param owner name of the host that was asked
     * @param answer its answer
     * @param nowMicros current time in microseconds
     * @return actions
     */
    public List<AllowanceAction> answered(String owner, TokenAnswer answer, long nowMicros) {
        List<AllowanceAction> actions = new ArrayList<>();
        TeamStock stock = stocks.get(answer.slot().team());
        if (stock != null) {
            stock.answered(owner, answer, nowMicros, actions);
        }
        return actions;
    }

    /**
     * Handles an {@link AllowanceAction.Ask} that has no answer within {@link Allowance#MIN_VALIDITY_MICROS}.
     *
     * @param ask the action
     * @param nowMicros current time in microseconds
     * @return actions
     */
    public List<AllowanceAction> failed(AllowanceAction.Ask ask, long nowMicros) {
        List<AllowanceAction> actions = new ArrayList<>();
        TeamStock stock = stocks.get(ask.request().slot().team());
        if (stock != null) {
            stock.failed(ask.owner(), ask.request(), nowMicros, actions);
        }
        return actions;
    }

    /**
     * Answers a request of another host for tokens.
     *
     * @param host name of the host that asks
     * @param request the request
     * @param nowMicros current time in microseconds
     * @return the answer
     */
    public TokenAnswer serve(String host, TokenRequest request, long nowMicros) {
        return owned.serve(host, request, nowMicros);
    }

    /**
     * Answers the claim of another host.
     *
     * @param slot the slot that the host claims
     * @return the first two hosts of the slot in this host's view
     */
    public Roster.Ranking rank(SlotId slot) {
        return view.roster().rank(slot);
    }

    /**
     * Handles the answer to an {@link AllowanceAction.Claim}.
     *
     * @param claim the action
     * @param ranking first two hosts of the slot in the view of the host that was asked
     * @param nowMicros current time in microseconds
     */
    public void claimAnswered(AllowanceAction.Claim claim, Roster.Ranking ranking, long nowMicros) {
        owned.claimAnswered(claim.witness(), claim.slot(), ranking, nowMicros);
    }

    /**
     * Performs the periodic work: claims slots and gives back tokens.
     *
     * @param nowMicros current time in microseconds
     * @return actions
     */
    public List<AllowanceAction> tick(long nowMicros) {
        List<AllowanceAction> actions = new ArrayList<>();
        owned.tick(nowMicros, actions);
        stocks.values().forEach(stock -> stock.tick(nowMicros, actions));
        stocks.values().removeIf(stock -> stock.isIdle(nowMicros));
        return actions;
    }

    /**
     * Returns whether any team has an allowance.
     *
     * @return false if nothing is to be decided
     */
    public boolean isActive() {
        return !allowances.isEmpty();
    }

    /**
     * Returns the counts of this host's decisions.
     *
     * @return current counts
     */
    public AllowanceCounts counts() {
        return counts;
    }

    /**
     * Returns the state of a team on this host.
     *
     * @param team name of the team
     * @return its tokens and the time of the last answer of an owner, or null if there were no requests lately
     */
    public TeamShare share(String team) {
        TeamStock stock = stocks.get(team);
        return stock == null ? null : new TeamShare(stock.tokens(), stock.answeredMicros());
    }

    /**
     * Tokens of a team on a host.
     *
     * @param tokens number of valid tokens
     * @param answeredMicros time of the last answer of an owner, in microseconds, 0 if there was none
     */
    public record TeamShare(int tokens, long answeredMicros) {}

    /**
     * Returns the number of slots that this host owns.
     *
     * @return slots and reserves
     */
    public int ownedSlots() {
        return owned.size();
    }

    /**
     * Returns the number of slots that this host may own but has not been confirmed for.
     *
     * @return slots and reserves
     */
    public int unconfirmedSlots() {
        return owned.unconfirmed();
    }
}
