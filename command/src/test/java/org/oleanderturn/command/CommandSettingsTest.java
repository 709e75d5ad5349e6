package org.oleanderturn.command;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oleanderturn.model.Address;

class CommandSettingsTest {
    @TempDir
    private Path folder;

    @Test
    void shouldReplaceOnlyTheGivenValuesWhenTheFileIsWellFormed() throws IOException {
        Path file = Files.writeString(folder.resolve("settings.json"), "{\"nodes\":[\"127.0.0.1:24001\"]}");

        CommandSettings settings = CommandSettings.defaults().withFile(file).get();

        assertThat(settings.nodes()).isEqualTo(List.of(Address.of("127.0.0.1", 24_001)));
        assertThat(settings.timeoutMilliseconds()).isEqualTo(CommandSettings.DEFAULT_TIMEOUT_MILLISECONDS);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{'node':[]}|node",
                "{'nodes':['here']}|nodes: expected HOST:PORT",
                "{'nodes':[null]}|nodes: expected HOST:PORT",
                "{'timeoutMilliseconds':0}|timeoutMilliseconds: expected milliseconds from 1 to 600000",
                "{'timeoutMilliseconds':'soon'}|timeoutMilliseconds",
                "[]|Cannot deserialize"
            })
    void shouldNameFileAndPathWhenAValueIsMalformed(String content, String expected) throws IOException {
        Path file = Files.writeString(folder.resolve("settings.json"), content.replace('\'', '"'));

        String failure = CommandSettings.defaults().withFile(file).getLeft().describe();

        assertThat(failure).startsWith(file + ": ");
        assertThat(failure).contains(expected);
    }
}
