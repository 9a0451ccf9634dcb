package org.anvillatch.node.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.rejection.DownstreamRejections;
import org.anvillatch.decision.rejection.RejectedCall;
import org.anvillatch.decision.rejection.RetryGrants;
import org.anvillatch.decision.rejection.ServiceRejection;
import org.anvillatch.node.endpoint.EndpointTransport;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes the events of this host to its decisions about services that reject a part of their requests: as the gatekeeper
 * of such a service, which rejected calls are retried; as the gatekeeper of a service that calls it, which root requests
 * are refused.
 *
 * <p>Invariant: while no retries are granted, because the bound of the service is not known or few requests are rejected,
 * nothing is held or refused. Owned by the decision loop: all methods are called on it.
 */
public final class PartialRejections {
    private static final Logger LOG = LoggerFactory.getLogger(PartialRejections.class);

    /**
     * Fraction of the service's endpoints that must be failing for the service to count as rejecting. Below it, the other
     * endpoints are preferred and retries reach them.
     */
    private static final double WHOLE_SERVICE_RATIO = 0.5;

    /**
     * Time for which the service counts as rejecting after enough endpoints were failing, in microseconds. An endpoint
     * counts as failing for a second and must then fail again.
     */
    private static final long WHOLE_SERVICE_MICROS = 1_000_000;

    /** Time between two counts of the service's endpoints, in microseconds. */
    private static final long COUNT_PERIOD_MICROS = 100_000;

    /** Fraction of a rejected call's remaining time for which it is held; the rest is for the calls that follow it. */
    private static final double HOLD_RATIO = 0.5;

    /** Minimum time between two log lines about refusals of one operation, in microseconds. */
    private static final long LOG_PERIOD_MICROS = 1_000_000;

    private final DecisionLoop loop;
    private final HostState state;
    private final MetricRegistry metrics;
    private final DownstreamRejections downstream = new DownstreamRejections();
    private final Map<OperationName, Long> loggedMicros = new HashMap<>();
    private RetryGrants grants;
    private int endpoints = 1;
    private long countedMicros = Long.MIN_VALUE / 2;
    private long wholeUntilMicros = Long.MIN_VALUE;
    private boolean active;

    /** The ratio that was determined last, for metrics, which are read by other threads. */
    private volatile double ratio;

    PartialRejections(DecisionLoop loop, HostState state, MetricRegistry metrics) {
        this.loop = loop;
        this.state = state;
        this.metrics = metrics;
    }

    /**
     * Lets this gatekeeper grant retries. Called before the loop starts.
     *
     * @param ratioOfRequests retries that all hosts together may send, as a fraction of the requests to a service
     * @param slack retries allowed beyond that fraction, for all hosts together
     */
    public void grantRetries(double ratioOfRequests, double slack) {
        grants = new RetryGrants(ratioOfRequests, () -> slack / endpoints);
        metrics.register("rejections.ratio", (Gauge<Double>) () -> ratio);
        metrics.register("rejections.level", (Gauge<Integer>) grants::level);
        metrics.register("rejections.retries_left", (Gauge<Double>) grants::balance);
        metrics.register("rejections.held", (Gauge<Integer>) grants::held);
    }

    /** Returns whether work is admitted although services that it calls reject requests, and records if it is chosen. */
    boolean admit(DispatchMessage message, TreeProgress tree) {
        if (message.progress().chosen()) {
            tree.choose();
        }
        if (message.context().isNested()) {
            return true;
        }
        long now = loop.nowMicros();
        DownstreamRejections.Admission admission =
                downstream.admit(message.operation(), message.context().rank(), now);
        if (admission == DownstreamRejections.Admission.CHOSEN) {
            tree.choose();
        } else if (admission == DownstreamRejections.Admission.REFUSED) {
            logRefusal(message.operation(), now);
        }
        return admission != DownstreamRejections.Admission.REFUSED;
    }

    private void logRefusal(OperationName operation, long now) {
        if (now - loggedMicros.getOrDefault(operation, Long.MIN_VALUE / 2) < LOG_PERIOD_MICROS) {
            return;
        }
        loggedMicros.put(operation, now);
        DownstreamRejections.Outlook outlook = downstream.outlook(operation, now);
        LOG.info(
                "refusing operation={} level={} success={} ageMicros={} rejections={}",
                operation,
                outlook.level(),
                outlook.success(),
                outlook.ageMicros(),
                outlook.rejections());
    }

    /** Records that a request is sent to the endpoint. */
    void recordStart(DispatchMessage message) {
        if (grants == null) {
            return;
        }
        long now = loop.nowMicros();
        countEndpoints(now);
        grants.recordArrival(message.progress().start(), message.context().rank(), now);
        logActive(now);
    }

    /**
     * Records the end of an execution.
     *
     * @return whether its answer is held, until {@link #release} returns it
     */
    boolean recordEnd(
            long execution, DispatchMessage message, EndpointTransport.EndpointAnswer answer, long deadlineMicros) {
        if (grants == null) {
            return false;
        }
        long now = loop.nowMicros();
        if (answer.result() == EndpointTransport.ExchangeResult.ANSWERED) {
            grants.recordAccepted(now);
            return false;
        }
        if (answer.result() != EndpointTransport.ExchangeResult.REJECTED) {
            return false;
        }
        countEndpoints(now);
        long holdUntil = now + (long) (Math.max(0, deadlineMicros - now) * HOLD_RATIO);
        RejectedCall rejected =
                new RejectedCall(message.progress(), message.context().rank(), message.retries() > 0, holdUntil);
        boolean held = grants.recordRejected(execution, rejected, now);
        if (!held && grants.isActive(now)) {
            metrics.counter("rejections.denied").inc();
        }
        logActive(now);
        return held;
    }

    /** Returns the held calls that are to be answered now. */
    List<RetryGrants.Release> release() {
        if (grants == null) {
            return List.of();
        }
        List<RetryGrants.Release> released = grants.release(loop.nowMicros());
        for (RetryGrants.Release release : released) {
            metrics.counter(release.granted() ? "rejections.granted" : "rejections.denied")
                    .inc();
        }
        return released;
    }

    void cancel(long execution) {
        grants.cancel(execution);
    }

    boolean isHolding() {
        return grants != null && grants.held() > 0;
    }

    /** Records a complete execution and the calls that it made. */
    void recordComplete(OperationName operation, Map<OperationName, Integer> callsMade) {
        downstream.recordExecution(operation, callsMade);
    }

    /** Records what the answer of a nested call reports. */
    void recordReport(OperationName called, List<ServiceRejection> reported) {
        downstream.recordReport(called, reported, loop.nowMicros());
    }

    /** Returns the rejecting services that an answer of this host's endpoint reports. */
    List<ServiceRejection> reportFor(OperationName operation) {
        long now = loop.nowMicros();
        List<ServiceRejection> downstreamRejections =
                downstream.outlook(operation, now).rejections();
        if (grants == null || !grants.isActive(now)) {
            return downstreamRejections;
        }
        List<ServiceRejection> all = new ArrayList<>(downstreamRejections);
        all.add(new ServiceRejection(operation.service(), grants.ratio(now), grants.level(), 1));
        return all;
    }

    /** Counts the endpoints of this host's service, which share the bound, and those of them that are failing. */
    private void countEndpoints(long now) {
        if (now - countedMicros < COUNT_PERIOD_MICROS) {
            return;
        }
        countedMicros = now;
        String service = state.membership().self().service();
        int present = 0;
        int failing = 0;
        for (Member member : state.membership().all()) {
            if (member.status().isPresent()
                    && member.service().equals(service)
                    && member.phase().takesNewWork()) {
                present++;
                failing += member.phase() == EndpointPhase.FAILING ? 1 : 0;
            }
        }
        endpoints = Math.max(1, present);
        if (present > 0 && failing >= present * WHOLE_SERVICE_RATIO) {
            wholeUntilMicros = now + WHOLE_SERVICE_MICROS;
        }
        grants.recordScope(now < wholeUntilMicros);
    }

    private void logActive(long now) {
        ratio = grants.ratio(now);
        if (grants.isActive(now) != active) {
            active = !active;
            LOG.info(
                    "rejections active={} ratio={} level={} retriesLeft={} held={} endpoints={}",
                    active,
                    ratio,
                    grants.level(),
                    grants.balance(),
                    grants.held(),
                    endpoints);
        }
    }
}
