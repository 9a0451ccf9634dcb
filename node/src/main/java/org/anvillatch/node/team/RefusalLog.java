package org.anvillatch.node.team;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.anvillatch.decision.allowance.AllowanceAgent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes at most {@link #MAX_LINES} lines a second about the teams whose requests were refused most, with the share of the
 * team on this host and its age. Not thread safe: owned by the decision loop.
 */
final class RefusalLog {
    private static final Logger LOG = LoggerFactory.getLogger(RefusalLog.class);
    private static final int MAX_LINES = 10;
    private static final long PERIOD_MICROS = 1_000_000;

    private record Refusals(int count, long retryMicros) {
        private Refusals plus(Refusals other) {
            return new Refusals(count + other.count, Math.max(retryMicros, other.retryMicros));
        }
    }

    private final Map<String, Refusals> byTeam = new HashMap<>();
    private long writtenMicros;

    /**
     * Records a refusal.
     *
     * @param team name of the team
     * @param retryMicros time after which the caller may try again
     */
    void record(String team, long retryMicros) {
        byTeam.merge(team, new Refusals(1, retryMicros), Refusals::plus);
    }

    /**
     * Writes the lines that are due.
     *
     * @param nowMicros current time in microseconds
     * @param agent knows the shares
     */
    void writeIfDue(long nowMicros, AllowanceAgent agent) {
        if (byTeam.isEmpty() || nowMicros - writtenMicros < PERIOD_MICROS) {
            return;
        }
        writtenMicros = nowMicros;
        List<Map.Entry<String, Refusals>> most = byTeam.entrySet().stream()
                .sorted(Comparator.comparing(entry -> -entry.getValue().count()))
                .limit(MAX_LINES)
                .toList();
        for (Map.Entry<String, Refusals> entry : most) {
            AllowanceAgent.TeamShare share = agent.share(entry.getKey());
            LOG.info(
                    "allowance team={} refused={} retryMillis={} tokens={} answerAgeMillis={}",
                    entry.getKey(),
                    entry.getValue().count(),
                    entry.getValue().retryMicros() / 1_000,
                    share == null ? 0 : share.tokens(),
                    share == null || share.answeredMicros() == 0 ? -1 : (nowMicros - share.answeredMicros()) / 1_000);
        }
        if (byTeam.size() > most.size()) {
            LOG.info("allowance refusals of {} more teams", byTeam.size() - most.size());
        }
        byTeam.clear();
    }
}
