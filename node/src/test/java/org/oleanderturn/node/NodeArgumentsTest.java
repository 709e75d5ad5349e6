package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

final class NodeArgumentsTest {
    private static final int USAGE_ERROR = 2;

    private final AtomicReference<NodeArguments> ran = new AtomicReference<>();

    private int execute(String... arguments) {
        return NodeArguments.execute(arguments, asked -> {
            ran.set(asked);
            return 0;
        });
    }

    @Test
    void shouldTakeTheSettingsFileWithLinesInJsonWhenNothingElseIsSaid() {
        assertThat(execute("--settings", "a.json")).isEqualTo(0);
        assertThat(ran.get()).isEqualTo(new NodeArguments(Optional.of(Path.of("a.json")), false, LogFormat.JSON));
    }

    @Test
    void shouldTakeEveryOptionWhenAllAreGiven() {
        assertThat(execute("--check-settings", "--log-format", "TEXT", "--settings=a.json"))
                .isEqualTo(0);
        assertThat(ran.get()).isEqualTo(new NodeArguments(Optional.of(Path.of("a.json")), true, LogFormat.TEXT));
    }

    @Test
    void shouldRehearseWhenNoSettingsAreNamed() {
        assertThat(execute("--rehearse")).isEqualTo(0);
        assertThat(ran.get().settingsFile()).isEmpty();
    }

    @Test
    void shouldFailWhenTheTaskIsMissingDoubledOrUnknown() {
        assertThat(execute()).isEqualTo(USAGE_ERROR);
        assertThat(execute("--rehearse", "--settings", "a.json")).isEqualTo(USAGE_ERROR);
        assertThat(execute("--unknown")).isEqualTo(USAGE_ERROR);
        assertThat(execute("--settings", "a.json", "--log-format", "XML")).isEqualTo(USAGE_ERROR);
        assertThat(ran.get()).isNull();
    }

    @Test
    void shouldRunNothingWhenHelpOrVersionIsAsked() {
        assertThat(execute("--help")).isEqualTo(0);
        assertThat(execute("--version")).isEqualTo(0);
        assertThat(ran.get()).isNull();
    }
}
