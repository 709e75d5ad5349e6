package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

final class NodeArgumentsTest {
    private static final int USAGE_ERROR = 2;

    private final AtomicReference<NodeArguments> parsed = new AtomicReference<>();

    private int execute(String... arguments) {
        return NodeArguments.execute(arguments, result -> {
            parsed.set(result);
            return 0;
        });
    }

    @Test
    void shouldLogAsJsonWhenOnlyTheSettingsFileIsGiven() {
        assertThat(execute("--settings", "a.json")).isEqualTo(0);
        assertThat(parsed.get()).isEqualTo(new NodeArguments(Optional.of(Path.of("a.json")), false, LogFormat.JSON));
    }

    @Test
    void shouldParseEveryOptionWhenAllAreGiven() {
        assertThat(execute("--check-settings", "--log-format", "TEXT", "--settings=a.json"))
                .isEqualTo(0);
        assertThat(parsed.get()).isEqualTo(new NodeArguments(Optional.of(Path.of("a.json")), true, LogFormat.TEXT));
    }

    @Test
    void shouldHaveNoSettingsFileWhenARehearsalIsRequested() {
        assertThat(execute("--rehearse")).isEqualTo(0);
        assertThat(parsed.get().settingsFile()).isEmpty();
    }

    @Test
    void shouldReportAUsageErrorWhenArgumentsAreMissingConflictingOrUnknown() {
        assertThat(execute()).isEqualTo(USAGE_ERROR);
        assertThat(execute("--rehearse", "--settings", "a.json")).isEqualTo(USAGE_ERROR);
        assertThat(execute("--unknown")).isEqualTo(USAGE_ERROR);
        assertThat(execute("--settings", "--check-settings")).isEqualTo(USAGE_ERROR);
        assertThat(execute("--settings")).isEqualTo(USAGE_ERROR);
        assertThat(execute("--settings", "a.json", "--log-format", "XML")).isEqualTo(USAGE_ERROR);
        assertThat(parsed.get()).isNull();
    }

    @Test
    void shouldNotRunWhenHelpOrVersionIsRequested() {
        assertThat(execute("--help")).isEqualTo(0);
        assertThat(execute("--version")).isEqualTo(0);
        assertThat(parsed.get()).isNull();
    }
}
