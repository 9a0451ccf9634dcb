package org.anvillatch.node.settings;

import java.util.List;

import org.anvillatch.decision.admission.AdmissionFeatures;
import org.anvillatch.node.decisionlog.DecisionLog;

/**
 * Settings of a node. Immutable and thread safe.
 *
 * @param name name of the host
 * @param domain failure domain of the host
 * @param callerAddress address for callers
 * @param endpointAddress address for the endpoint of this host
 * @param operatorAddress address for operators
 * @param peerAddress address for other hosts
 * @param advertisedPeerAddress address under which other hosts reach the peer address
 * @param seeds peer addresses of hosts through which this host joins
 * @param logAddress address of the platform's log service
 * @param readKey access key for questions, empty if none is needed
 * @param changeKey access key for changes, empty if no changes are allowed
 * @param logFormat format of the decision lines
 * @param randomSeed seed of the random numbers, 0 for a seed from the clock
 * @param stopMillis maximum time that a graceful stop waits for accepted work, in milliseconds
 * @param snapshotSeconds maximum time between two configuration snapshots on the log, in seconds
 * @param features admission mechanisms that are switched on
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
     * @param host IP address, IPv4
     * @param port port, 1 to 65535
     */
    public record ListenAddress(String host, int port) {
        @Override
        public String toString() {
            return host + ":" + port;
        }
    }
}
