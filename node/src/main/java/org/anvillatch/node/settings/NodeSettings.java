package org.anvillatch.node.settings;

import java.util.List;

import org.anvillatch.decision.admission.AdmissionFeatures;
import org.anvillatch.node.decisionlog.DecisionLog;

/**
 * Settings of a node. Immutable and thread safe.
 *
 * @param name name of the host
 * @param domain failure domain
 * @param callerAddress where callers connect
 * @param endpointAddress where the endpoint of this host connects
 * @param operatorAddress where operators connect
 * @param peerAddress where other hosts connect
 * @param advertisedPeerAddress where other hosts reach the peer address
 * @param seeds peer addresses of hosts to join through
 * @param logAddress the platform's log service
 * @param readKey key of operators who may ask
 * @param changeKey key of operators who may change
 * @param logFormat form of the decision lines
 * @param randomSeed seed of all randomness
 * @param stopMillis longest time that a graceful stop may take
 * @param snapshotSeconds longest time between two configuration snapshots on the log
 * @param features admission mechanisms in use
 */
public record NodeSettings(
        String name,
        String domain,
        ListenAddress callerAddress,
        ListenAddress endpointAddress,
        ListenAddress operatorAddress,
        ListenAddress peerAddress,
        ListenAddress advertisedPeerAddress,
        List<String> seeds,
        String logAddress,
        String readKey,
        String changeKey,
        DecisionLog.Format logFormat,
        long randomSeed,
        int stopMillis,
        int snapshotSeconds,
        AdmissionFeatures features) {
    /**
     * An address to listen on.
     *
     * @param host IP number
     * @param port port, 1 to 65535
     */
    public record ListenAddress(String host, int port) {
        @Override
        public String toString() {
            return host + ":" + port;
        }
    }
}
