package org.anvillatch.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.admission.Gatekeeper;
import org.anvillatch.decision.configuration.Configuration;
import org.anvillatch.decision.configuration.ConfigurationReducer;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.idempotency.IdempotencyLedger;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.membership.Membership;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.quarantine.CrashSuspects;
import org.anvillatch.decision.retry.RetryTokenBucket;
import org.anvillatch.decision.routing.ActiveRoutes;
import org.anvillatch.decision.routing.EndpointSelector;
import org.anvillatch.node.call.CallDecisionRecorder;
import org.anvillatch.node.call.CallRouter;
import org.anvillatch.node.call.CrashSignal;
import org.anvillatch.node.call.GatekeeperService;
import org.anvillatch.node.call.IdempotencyService;
import org.anvillatch.node.call.KeyClaimService;
import org.anvillatch.node.caller.CallHandler;
import org.anvillatch.node.caller.KeyHandler;
import org.anvillatch.node.configuration.ConfigurationService;
import org.anvillatch.node.decisionlog.DecisionLog;
import org.anvillatch.node.endpoint.EndpointClient;
import org.anvillatch.node.endpoint.EndpointHandler;
import org.anvillatch.node.listener.ConnectionGuard;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.membership.LeavingWitnesses;
import org.anvillatch.node.membership.MembershipService;
import org.anvillatch.node.memory.IncompleteBodies;
import org.anvillatch.node.memory.MemoryBudget;
import org.anvillatch.node.operator.ChangeCommand;
import org.anvillatch.node.operator.CommandHandler;
import org.anvillatch.node.operator.HostStatus;
import org.anvillatch.node.operator.HostSurvey;
import org.anvillatch.node.operator.QuestionCommand;
import org.anvillatch.node.peer.PeerClient;
import org.anvillatch.node.peer.PeerServer;
import org.anvillatch.node.platform.HttpPlatformLog;
import org.anvillatch.node.routes.RouteTableService;
import org.anvillatch.node.settings.NodeSettings;
import org.anvillatch.node.team.TeamAllowanceService;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A node: all services of the process. Services are started in order and stopped in reverse order.
 *
 * <p>Invariant: after {@link #leave} no new root request and no new dispatch is accepted. Thread safe.
 */
public final class Node implements Service {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long TICK_PERIOD_MICROS = 100_000;
    /** Minimum time between two ticks that counts as a pause of the process, in microseconds. */
    private static final long MIN_PAUSE_MICROS = 1_000_000;

    private static final long LEAVE_POLL_PERIOD_MILLIS = 20;

    /** Wait between the announcement that this host leaves and the first check for work in flight. */
    private static final long LEAVE_SETTLE_MILLIS = 300;

    private final NodeSettings settings;
    private final MetricRegistry metrics = new MetricRegistry();
    private final Deque<Service> started = new ArrayDeque<>();
    private final List<Service> services;
    private final DecisionLoop loop = new DecisionLoop();
    private final MemoryBudget budget;
    private final HostState state;
    private final GatekeeperService gatekeeperService;
    private final CallRouter router;
    private final CallHandler callHandler;
    private final EndpointHandler endpointHandler;
    private final MembershipService membershipService;
    private final ConfigurationService configurationService;
    private final TeamAllowanceService allowances;
    private volatile String processState = "starting";
    private long lastTickMicros;

    /**
     * Creates a node.
     *
     * @param settings valid settings
     */
    public Node(NodeSettings settings) {
        this.settings = settings;
        NodeThreads nodeThreads = new NodeThreads();
        QueuedThreadPool threads = nodeThreads.pool();
        ScheduledExecutorScheduler scheduler = nodeThreads.scheduler();
        budget = MemoryBudget.ofMaxHeap();
        budget.register(metrics);
        state = createHostState(settings);
        DecisionLog log = new DecisionLog(settings.logFormat(), metrics);
        CallDecisionRecorder decisions = new CallDecisionRecorder(log, settings.name());
        PeerClient peers =
                new PeerClient(loop, threads, scheduler, settings.peerAddress().host(), budget, metrics);
        EndpointClient endpointClient = new EndpointClient(threads, scheduler, budget);
        HttpPlatformLog platform = new HttpPlatformLog(settings.logAddress(), threads, scheduler);
        gatekeeperService =
                new GatekeeperService(loop, state, endpointClient, decisions, metrics, CrashSignal.CONNECTION_LOST);
        router = new CallRouter(loop, state, peers, gatekeeperService, decisions, metrics, RetryTokenBucket::new);
        IdempotencyService idempotencyService = new IdempotencyService(
                loop,
                state,
                peers,
                router,
                new KeyClaimService(loop, state.membership().self().host(), state.ledger(), platform, metrics),
                decisions);
        configurationService =
                new ConfigurationService(loop, state, peers, platform, settings.snapshotSeconds() * MICROS_PER_SECOND);
        membershipService = new MembershipService(loop, state, peers, configurationService);
        HostSurvey survey = new HostSurvey(state, peers);
        QuestionCommand questions = new QuestionCommand(state, survey, log, this::status);
        ChangeCommand changes = new ChangeCommand(loop, state, configurationService, survey);
        callHandler = new CallHandler(loop, state, router, idempotencyService, gatekeeperService, decisions, metrics);
        endpointHandler = new EndpointHandler(loop, state, gatekeeperService);
        CommandHandler.AccessKeys keys = new CommandHandler.AccessKeys(settings.readKey(), settings.changeKey());
        Readiness readiness =
                new Readiness(loop, scheduler, () -> "serving".equals(processState) && budget.hasRoomForRequests());
        CommandHandler commands = new CommandHandler(loop, state, changes, questions, keys, metrics, readiness);
        allowances = new TeamAllowanceService(loop, state, peers::send, metrics);
        PeerRequestHandler commonHandler = new PeerRequestHandler(
                loop,
                state,
                gatekeeperService,
                membershipService,
                new RouteTableService(loop, state, peers),
                new LeavingWitnesses(loop, state, peers, metrics),
                allowances);
        NodePeerHandler peerHandler = new NodePeerHandler(
                loop,
                new NodePeerHandler.Services(
                        commonHandler, idempotencyService, configurationService, questions, this::status));
        ConnectionGuard guard = new ConnectionGuard(scheduler, new IncompleteBodies(budget), metrics);
        NodeServer server = new NodeServer(
                settings,
                threads,
                scheduler,
                guard,
                new NodeServer.Handlers(callHandler, new KeyHandler(loop, state), endpointHandler, commands),
                new PeerServer(threads, peerHandler, budget, metrics));
        services = List.of(loop, log, nodeThreads, guard, peers, endpointClient, platform, server);
        registerMetrics();
    }

    private static HostState createHostState(NodeSettings settings) {
        // A later incarnation needs a larger number. Hosts store nothing, so the number comes from the wall clock.
        HostIdentity identity = new HostIdentity(settings.name(), System.currentTimeMillis());
        Member self = new Member(
                identity,
                0,
                settings.advertisedPeerAddress().toString(),
                settings.domain(),
                "",
                0,
                EndpointPhase.ABSENT,
                MemberStatus.ALIVE,
                0);
        Membership membership = new Membership(self, settings.seeds());
        long seed = settings.randomSeed() == 0 ? System.nanoTime() : settings.randomSeed();
        return new HostState(
                membership,
                new EndpointSelector(membership),
                new Gatekeeper(settings.features()),
                new IdempotencyLedger(identity, IdempotencyLedger.MAX_KEYS),
                new CrashSuspects(),
                new ConfigurationReducer(),
                new ActiveRoutes(),
                new SplittableRandom(seed));
    }

    private void registerMetrics() {
        metrics.register("tasks.failed", (Gauge<Long>) loop.errors()::failures);
        metrics.register("calls.in_flight", (Gauge<Integer>) router::inFlight);
        metrics.register("gatekeeper.in_flight", (Gauge<Integer>) gatekeeperService::inFlight);
        metrics.register("gatekeeper.level", (Gauge<Integer>)
                () -> state.gatekeeper().status().level());
        metrics.register("gatekeeper.limit_per_second", (Gauge<Double>)
                () -> state.gatekeeper().isRateLimited() ? state.gatekeeper().limitPerSecond() : 0);
        metrics.register("gatekeeper.limit", (Gauge<Integer>)
                () -> state.gatekeeper().status().limit());
        metrics.register("configuration.version", (Gauge<Long>)
                () -> state.configuration().current().version());
        metrics.register("configuration.history", (Gauge<Long>)
                () -> state.configuration().history());
        metrics.register("membership.hosts", (Gauge<Integer>) this::presentHosts);
    }

    private int presentHosts() {
        return (int) state.membership().all().stream()
                .filter(member -> member.status().isPresent())
                .count();
    }

    @Override
    public void start() throws StartException {
        String problem = budget.findProblem();
        if (problem != null) {
            throw new StartException(problem, null);
        }
        for (Service service : services) {
            // Added before the start, so that a service that fails while starting is stopped as well.
            started.push(service);
            service.start();
        }
        configurationService.addChangeListener(this::configurationChanged);
        gatekeeperService.setCrashListener(membershipService::broadcastSuspicions);
        gatekeeperService.endpointState().setListener(membershipService::announceSelf);
        lastTickMicros = loop.nowMicros();
        loop.scheduleRepeatedly(TICK_PERIOD_MICROS, this::tick);
        loop.scheduleRepeatedly(MembershipService.TICK_PERIOD_MICROS, membershipService::tick);
        loop.scheduleRepeatedly(MembershipService.TICK_PERIOD_MICROS, configurationService::tick);
        loop.scheduleRepeatedly(TeamAllowanceService.TICK_PERIOD_MICROS, allowances::tick);
        loop.scheduleRepeatedly(MembershipService.TICK_PERIOD_MICROS, endpointHandler::checkHeartbeat);
        processState = "serving";
        LOG.info(
                "node {} of domain {} serves callers at {}, its endpoint at {}, operators at {}, hosts at {}",
                state.membership().self().host(),
                settings.domain(),
                settings.callerAddress(),
                settings.endpointAddress(),
                settings.operatorAddress(),
                settings.peerAddress());
    }

    private void tick() {
        long now = loop.nowMicros();
        if (now - lastTickMicros > MIN_PAUSE_MICROS) {
            LOG.warn("this process was paused for {} ms", (now - lastTickMicros) / 1_000);
            configurationService.requestImmediateRead();
        }
        lastTickMicros = now;
    }

    private void configurationChanged() {
        applyTeams();
        state.suspects().release(state.configuration().current().released());
        gatekeeperService.endpointState().applyDrain();
    }

    private void applyTeams() {
        Configuration current = state.configuration().current();
        state.routes()
                .replaceTeams(
                        current.teamList(),
                        current.operations().values().stream()
                                .map(current::importance)
                                .collect(Collectors.toSet()));
        callHandler.teamAdmission().teamsChanged();
        int refused = gatekeeperService.refuseRevoked();
        if (refused > 0) {
            LOG.info("queued requests of revoked keys refused={}", refused);
        }
    }

    private HostStatus status() {
        Member self = state.membership().self();
        return new HostStatus(
                self.host().name(),
                self.host().incarnation(),
                self.domain(),
                self.service(),
                state.gatekeeper().status(),
                endpointHandler.reportedRunning(),
                state.configuration().current().version(),
                state.configuration().coveredPosition(),
                presentHosts(),
                processState);
    }

    /**
     * Leaves the system: refuses new work, notifies other hosts and waits until the accepted work has ended.
     *
     * @throws InterruptedException if the wait is interrupted
     */
    public void leave() throws InterruptedException {
        processState = "leaving";
        LOG.info("leaving: new work is refused, {} calls are in flight", router.inFlight());
        callHandler.refuseRootRequests();
        loop.execute(() -> {
            gatekeeperService.endpointState().stopAdmission();
            membershipService.leave();
        });
        Thread.sleep(Math.min(LEAVE_SETTLE_MILLIS, settings.stopMillis()));
        long deadlineMillis = System.currentTimeMillis() + settings.stopMillis();
        while (isBusy() && System.currentTimeMillis() < deadlineMillis) {
            Thread.sleep(LEAVE_POLL_PERIOD_MILLIS);
        }
        LOG.info("left with {} calls in flight", router.inFlight() + gatekeeperService.inFlight());
    }

    private boolean isBusy() {
        return router.inFlight() + gatekeeperService.inFlight() + callHandler.pendingWrites() > 0;
    }

    @Override
    public void stop() {
        processState = "stopped";
        while (!started.isEmpty()) {
            started.pop().stop();
        }
    }
}
