package org.anvillatch.node.settings;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SettingsParserTest {
    private static final String[] REQUIRED = {"--name", "a", "--domain", "d", "--log-address", "127.0.0.1:9"};

    private final SettingsParser parser = new SettingsParser();

    private static String[] withRequired(String... more) {
        String[] all = Arrays.copyOf(REQUIRED, REQUIRED.length + more.length);
        System.arraycopy(more, 0, all, REQUIRED.length, more.length);
        return all;
    }

    @Test
    void flagTakesPrecedenceOverVariable() {
        Optional<NodeSettings> settings = parser.parse(
                withRequired("--seeds", "127.0.0.1:1, 127.0.0.1:2"),
                Map.of("ANVILLATCH_DOMAIN", "other", "ANVILLATCH_LOG_FORMAT", "json"));
        assertThat(settings).isPresent();
        assertThat(settings.get().domain()).isEqualTo("d");
        assertThat(settings.get().logFormat().name()).isEqualTo("JSON");
        assertThat(settings.get().seeds()).hasSize(2);
        assertThat(parser.describe()).contains("log-format = json  (ANVILLATCH_LOG_FORMAT)");
    }

    @Test
    void reportsEveryFindingWithItsSetting() {
        Optional<NodeSettings> settings = parser.parse(
                new String[] {"--name", "a b", "--caller-address", "host:1", "--seeds", "x", "--without", "luck"},
                Map.of("ANVILLATCH_STOP_MILLIS", "soon", "ANVILLATCH_COLOUR", "red"));
        assertThat(settings).isEmpty();
        assertThat(parser.findings().stream().map(finding -> finding.place()).toList())
                .containsExactly(
                        "ANVILLATCH_COLOUR",
                        "--name",
                        "--domain",
                        "--caller-address",
                        "--seeds",
                        "--log-address",
                        "ANVILLATCH_STOP_MILLIS",
                        "--without");
    }

    @Test
    void rejectsUnknownFlags() {
        assertThat(parser.parse(withRequired("--colour", "red"), Map.of())).isEmpty();
        assertThat(parser.findings().get(0).message()).contains("--colour");
    }

    @Test
    void describeHidesAccessKeys() {
        parser.parse(withRequired("--change-key", "secret"), Map.of());
        assertThat(String.join("\n", parser.describe())).doesNotContain("= secret");
    }
}
