package org.anvillatch.node.call;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.anvillatch.decision.admission.AdmissionAction;
import org.anvillatch.decision.admission.Gatekeeper;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.model.EndpointNotice;
import org.anvillatch.node.endpoint.EndpointAnnouncement;
import org.anvillatch.node.endpoint.EndpointTransport;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the endpoint of this host reports about itself: its announcement, the notices in its answers, and that it is
 * leaving. Applies the reports to the {@link Gatekeeper} and advertises the endpoint to other hosts.
 *
 * <p>Invariant: a process of the endpoint that is leaving gets no new work unless it announces itself again; after
 * {@link #stopAdmission} no process gets new work. Owned by the decision loop: all methods are called on it.
 */
public final class EndpointState {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointState.class);

    /** Minimum change of the endpoint's limit that is logged, as a fraction of the limit. */
    private static final double LOGGED_LIMIT_CHANGE = 0.1;

    /** Minimum change of the slots that is advertised to other hosts, as a fraction of the advertised slots. */
    private static final double ADVERTISED_SLOTS_CHANGE = 0.25;

    /** Period of the health check of a failing endpoint, in microseconds: a tenth of the minimum ejection time. */
    private static final long HEALTH_CHECK_PERIOD_MICROS = 100_000;

    private final DecisionLoop loop;
    private final HostState state;
    private final EndpointTransport client;
    private final Consumer<List<AdmissionAction>> performer;
    private Runnable listener = () -> {};
    private EndpointAnnouncement endpoint;
    private EndpointNotice notice = EndpointNotice.unrestricted("");

    /** Whether the current process of the endpoint has answered this node. */
    private boolean answered;

    /** The current process of the endpoint if it is leaving, else null; it may not have announced itself. */
    private String leavingInstance;

    private boolean stopping;

    EndpointState(
            DecisionLoop loop, HostState state, EndpointTransport client, Consumer<List<AdmissionAction>> performer) {
        this.loop = loop;
        this.state = state;
        this.client = client;
        this.performer = performer;
    }

    /**
     * Sets the listener for changes of the endpoint that its answers show.
     *
     * @param listener called on the loop when the endpoint starts or stops failing, says that it is leaving,
     *     or can take much more or less work than it advertises
     */
    public void setListener(Runnable listener) {
        this.listener = listener;
    }

    /**
     * Returns the announcement of the current endpoint.
     *
     * @return the announcement, or null if there was none yet
     */
    public EndpointAnnouncement endpoint() {
        return endpoint;
    }

    /**
     * Handles the endpoint's announcement. A new instance replaces the current endpoint.
     *
     * @param announcement the announcement
     */
    public void announced(EndpointAnnouncement announcement) {
        if (stopping) {
            return;
        }
        leavingInstance = null;
        boolean sameInstance = endpoint != null && endpoint.instance().equals(announcement.instance());
        if (sameInstance && state.gatekeeper().phase() == EndpointPhase.SILENT) {
            changePhase(EndpointPhase.SERVING);
            applyDrain();
            return;
        }
        if (sameInstance && state.gatekeeper().phase() == EndpointPhase.SERVING) {
            return;
        }
        endpoint = announcement;
        answered = false;
        client.setMaxConnections(announcement.connections());
        state.gatekeeper().endpointAnnounced(announcement.slots());
        applyDrain();
        advertise();
    }

    /**
     * Refuses new work because the current process of the endpoint is leaving. The process may not have announced itself:
     * it may have started again under its id, and work for the process before would reach it.
     *
     * @param instance identity of the current process
     */
    public void leaving(String instance) {
        leavingInstance = instance;
        changePhase(EndpointPhase.LEAVING);
    }

    /** Refuses all new work from now on, whatever the endpoint announces, because this node stops. */
    public void stopAdmission() {
        stopping = true;
        changePhase(EndpointPhase.LEAVING);
    }

    /**
     * Returns whether a process of the endpoint is leaving.
     *
     * @param instance identity of the process
     * @return true if it said so and has not announced itself since
     */
    public boolean isLeaving(String instance) {
        return instance.equals(leavingInstance);
    }

    /**
     * Changes the phase of the endpoint, unless its current process is leaving or this node stops.
     *
     * @param phase the new phase
     */
    public void changePhase(EndpointPhase phase) {
        if ((stopping || leavingInstance != null) && phase != EndpointPhase.LEAVING) {
            return;
        }
        if (state.gatekeeper().phase() != phase) {
            performer.accept(state.gatekeeper().changePhase(phase, loop.nowMicros()));
            advertise();
        }
    }

    /** Drains the endpoint or returns it to service, as operators have configured. */
    public void applyDrain() {
        Set<String> drained = state.drained();
        boolean drain = drained.contains(state.membership().self().host().name())
                || drained.contains(state.membership().self().domain());
        changePhase(state.gatekeeper().phase().drained(drain));
    }

    private void advertise() {
        String service = endpoint == null ? "" : endpoint.service();
        EndpointPhase phase = state.gatekeeper().advertisedPhase(loop.nowMicros());
        state.membership()
                .advertiseEndpoint(
                        service,
                        state.gatekeeper().advertisedSlots(),
                        phase,
                        state.gatekeeper().serviceTimeMicros());
    }

    /** Applies a notice in an answer of the endpoint; that of an earlier process and null are ignored. */
    void applyNotice(EndpointNotice received, long nowMicros) {
        if (received != null && received.instance().equals(endpoint.instance())) {
            answered = true;
            recordNotice(received, nowMicros);
        }
    }

    /**
     * Applies a notice that a sender got from the current endpoint before this node was restarted. The limit is applied
     * only until the endpoint has answered this node, which then knows better.
     */
    void applySenderNotice(EndpointNotice known) {
        if (known == null || endpoint == null || !known.instance().equals(endpoint.instance())) {
            return;
        }
        if (!answered && !state.gatekeeper().isRateLimited() || known.leaving() && !isLeaving(known.instance())) {
            recordNotice(known, loop.nowMicros());
        }
    }

    private void recordNotice(EndpointNotice received, long nowMicros) {
        logNotice(received);
        state.gatekeeper().recordNotice(received, nowMicros);
        if (received.leaving() && !isLeaving(received.instance())) {
            leaving(received.instance());
            listener.run();
        }
        advertiseSlots();
    }

    /** Advertises the endpoint again if it can take much more or less work than other hosts know. */
    private void advertiseSlots() {
        int advertised = state.membership().self().slots();
        int change = Math.abs(state.gatekeeper().advertisedSlots() - advertised);
        if (!stopping && change > advertised * ADVERTISED_SLOTS_CHANGE) {
            advertise();
            listener.run();
        }
    }

    /** Returns the restriction that the current endpoint names, or null if it names none. */
    EndpointNotice restriction() {
        if (endpoint == null) {
            return null;
        }
        EndpointNotice current = new EndpointNotice(
                endpoint.instance(), state.gatekeeper().limitPerSecond(), isLeaving(endpoint.instance()));
        return current.isRestriction() ? current : null;
    }

    /** Logs a notice of the endpoint if it differs from the previous one by more than a small change of the limit. */
    private void logNotice(EndpointNotice next) {
        double limit = notice.maxRequestsPerSecond();
        boolean limitChanged = next.isLimited() && notice.isLimited()
                ? Math.abs(next.maxRequestsPerSecond() - limit) > limit * LOGGED_LIMIT_CHANGE
                : Double.compare(next.maxRequestsPerSecond(), limit) != 0;
        if (limitChanged || next.leaving() != notice.leaving()) {
            LOG.info(
                    "endpoint instance={} limitPerSecond={} before={} leaving={}",
                    next.instance(),
                    next.maxRequestsPerSecond(),
                    limit,
                    next.leaving());
            notice = next;
        }
    }

    /** Advertises the endpoint again if it has started or stopped failing, or if its service time has changed. */
    void updateHealth() {
        EndpointPhase next = state.gatekeeper().advertisedPhase(loop.nowMicros());
        EndpointPhase advertised = state.membership().self().phase();
        boolean healthChanged = (next == EndpointPhase.FAILING) != (advertised == EndpointPhase.FAILING);
        long serviceTimeMicros = state.gatekeeper().serviceTimeMicros();
        if (healthChanged || serviceTimeMicros != state.membership().self().serviceTimeMicros()) {
            advertise();
        }
        if (!healthChanged) {
            return;
        }
        LOG.info("endpoint phase={} before={}", next, advertised);
        listener.run();
        if (next == EndpointPhase.FAILING) {
            scheduleHealthCheck();
        }
    }

    private void scheduleHealthCheck() {
        loop.schedule(HEALTH_CHECK_PERIOD_MICROS, () -> {
            updateHealth();
            if (state.membership().self().phase() == EndpointPhase.FAILING) {
                scheduleHealthCheck();
            }
        });
    }
}
