package org.anvillatch.node.membership;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Durable record of the processes of this host's endpoint that are leaving; it outlasts all hosts. Implementations are
 * called on the decision loop and call back on it.
 */
public interface LeavingStore {
    /**
     * Records processes.
     *
     * @param processes identities of the processes, the latest last
     * @param done receives whether the record is durable; false if that is not known in time, in which case the
     *     implementation continues to try
     */
    void record(List<String> processes, Consumer<Boolean> done);

    /**
     * Reads the recorded processes.
     *
     * @param done receives their identities, the latest last; empty if the store did not answer
     */
    void read(Consumer<Optional<List<String>>> done);
}
