package org.anvillatch.node.routes;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.anvillatch.decision.routing.RequestRoute;
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
 * Puts new route tables in force, from the store or from another host that has a newer one. Owned by the decision loop:
 * all methods are called on it.
 *
 * <p>Invariant: the version in force never falls within one life of the process.
 */
public final class RouteTableService implements VersionedState {
    private static final Logger LOG = LoggerFactory.getLogger(RouteTableService.class);

    /** Longest wait for another host's table, in microseconds; longer than a frame takes on a narrowed link. */
    private static final long FETCH_TIMEOUT_MICROS = 1_000_000;

    private final DecisionLoop loop;
    private final HostState state;
    private final PeerClient peers;
    private final List<Runnable> changeListeners = new ArrayList<>();
    private final Set<String> fetching = new HashSet<>();

    /**
     * Creates the service.
     *
     * @param loop runs callbacks
     * @param state decision state of the host
     * @param peers sends to other hosts
     */
    public RouteTableService(DecisionLoop loop, HostState state, PeerClient peers) {
        this.loop = loop;
        this.state = state;
        this.peers = peers;
    }

    /**
     * Registers what runs after each new table.
     *
     * @param listener runs on the loop
     */
    public void setChangeListener(Runnable listener) {
        changeListeners.add(listener);
    }

    /**
     * Takes a table.
     *
     * @param table the table
     * @param source where it comes from, for the log
     */
    public void updateIfNewer(RouteTable table, String source) {
        long before = state.routes().version();
        if (!state.routes().updateIfNewer(table)) {
            LOG.debug("routes version={} from={} ignored inForce={}", table.version(), source, before);
            return;
        }
        LOG.info(
                "routes version={} before={} from={} routes={} inForceMicros={}",
                table.version(),
                before,
                source,
                table.routes().size(),
                loop.nowMicros());
        state.gatekeeper()
                .setImportances(
                        table.routes().stream().map(RequestRoute::importance).toList());
        changeListeners.forEach(Runnable::run);
    }

    @Override
    public long version() {
        return state.routes().version();
    }

    @Override
    public void peerVersionReceived(String address, long version) {
        if (version <= version() || !fetching.add(address)) {
            return;
        }
        PeerMessage request = new ControlMessages.RouteTableRequest();
        peers.send(address, request, FETCH_TIMEOUT_MICROS, new PeerClient.AnswerListener() {
            @Override
            public void answered(PeerMessage message) {
                fetching.remove(address);
                if (message instanceof ControlMessages.RouteTableAnswer answer && answer.table() != null) {
                    updateIfNewer(answer.table(), "host " + address);
                }
            }

            @Override
            public void failed(PeerClient.PeerFailure failure) {
                fetching.remove(address);
                LOG.debug("no route table from {}: {}", address, failure);
            }
        });
    }

    /**
     * Answers another host that asks for the table in force.
     *
     * @return the answer, without a table before the first
     */
    public ControlMessages.RouteTableAnswer answer() {
        return new ControlMessages.RouteTableAnswer(state.routes().table().orElse(null));
    }
}
