package org.anvillatch.node.routes;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.anvillatch.decision.routing.RouteTable;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.membership.VersionedState;
import org.anvillatch.node.peer.ControlMessages;
import org.anvillatch.node.peer.PeerClient;
import org.anvillatch.node.peer.PeerMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies new route tables, which come from the store or from another host that has a newer one. Owned by the decision
 * loop: all methods are called on it.
 *
 * <p>Invariant: the active version never decreases during the process lifetime.
 */
public final class RouteTableService implements VersionedState {
    private static final Logger LOG = LoggerFactory.getLogger(RouteTableService.class);

    /** Time to wait for another host's route table, in microseconds; enough to transfer a frame over a slow link. */
    private static final long FETCH_TIMEOUT_MICROS = 1_000_000;

    private final DecisionLoop loop;
    private final HostState state;
    private final PeerClient peers;
    private final List<Runnable> changeListeners = new ArrayList<>();
    private final Set<String> fetchesInProgress = new HashSet<>();

    /**
     * Creates the service.
     *
     * @param loop loop that runs the callbacks
     * @param state decision state of this host
     * @param peers client for other hosts
     */
    public RouteTableService(DecisionLoop loop, HostState state, PeerClient peers) {
        this.loop = loop;
        this.state = state;
        this.peers = peers;
    }

    /**
     * Registers a listener for new route tables.
     *
     * @param listener called on the loop after each new table
     */
    public void addChangeListener(Runnable listener) {
        changeListeners.add(listener);
    }

    /**
     * Applies a route table if it is newer than the active one.
     *
     * @param table the table
     * @param source where the table comes from, for the log
     */
    public void updateIfNewer(RouteTable table, String source) {
        long previousVersion = state.routes().version();
        if (!state.routes().updateIfNewer(table)) {
            LOG.debug("routes version={} from={} ignored inForce={}", table.version(), source, previousVersion);
            return;
        }
        LOG.info(
                "routes version={} before={} from={} routes={} teams={} inForceMicros={}",
                table.version(),
                previousVersion,
                source,
                table.routes().size(),
                table.teams() == null ? "unknown" : table.teams().size(),
                loop.nowMicros());
        state.gatekeeper().setImportances(state.routes().importancesInUse());
        changeListeners.forEach(Runnable::run);
    }

    @Override
    public long version() {
        return state.routes().version();
    }

    @Override
    public void peerVersionReceived(String address, long version) {
        if (version <= version() || !fetchesInProgress.add(address)) {
            return;
        }
        PeerMessage request = new ControlMessages.RouteTableRequest();
        peers.send(address, request, FETCH_TIMEOUT_MICROS, new PeerClient.AnswerListener() {
            @Override
            public void answered(PeerMessage message) {
                fetchesInProgress.remove(address);
                if (message instanceof ControlMessages.RouteTableAnswer answer && answer.table() != null) {
                    updateIfNewer(answer.table(), "host " + address);
                }
            }

            @Override
            public void failed(PeerClient.PeerFailure failure) {
                fetchesInProgress.remove(address);
                LOG.debug("no route table received from {}: {}", address, failure);
            }
        });
    }

    /**
     * Creates the answer to another host that requests the active route table.
     *
     * @return the answer, without a table if none is active yet
     */
    public ControlMessages.RouteTableAnswer answer() {
        return new ControlMessages.RouteTableAnswer(state.routes().table().orElse(null));
    }
}
