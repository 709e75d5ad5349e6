package org.oleanderturn.command;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationValidator;

class DeclarationReaderTest {
    private static final String DOCS = "{\"services\":[{\"name\":\"docs\",\"slots\":10,\"connections\":120}]}";

    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(strings = {"huon-valley", "cordline"})
    void shouldReadAValidConfigurationWhenGivenAnExample(String deployment) {
        Path example = Path.of("..", "examples", deployment, "configuration");

        Configuration configuration = DeclarationReader.read(example).get();

        assertThat(configuration.services()).hasSize(3);
        assertThat(ConfigurationValidator.validate(configuration)).isEmpty();
    }

    @Test
    void shouldNameBothFilesWhenAnObjectIsDeclaredTwice() throws IOException {
        Files.writeString(folder.resolve("one.json"), DOCS);
        Files.writeString(folder.resolve("two.json"), DOCS);

        CommandFailure.DeclaredTwice failure =
                (CommandFailure.DeclaredTwice) DeclarationReader.read(folder).getLeft();

        assertThat(failure.path()).isEqualTo("services/docs");
        assertThat(failure.firstFile()).endsWith("one.json");
        assertThat(failure.secondFile()).endsWith("two.json");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{'service':[]}|service: unknown field; known are organisations, routes, services, trafficPolicies",
                "{'services':[{'name':'docs','slots':10}]}|services[0].connections: missing or null; expected int",
                "{'services':[{'name':'docs','slots':'ten','connections':1}]}|services[0].slots",
                "{'services':[{'name':'docs','slots':'10','connections':1}]}|services[0].slots",
                "{'services':[{'name':'docs','slots':1.5,'connections':1}]}|services[0].slots",
                "{'services':[{'name':'docs','slots':1,'slots':2,'connections':1}]}|services[0]",
                "{'services':[{'name':'docs','slots':null,'connections':1}]}|services[0].slots",
                "{'services':[null]}|services/",
                "{'routes':[{'name':'docs','pathPrefix':5}]}|routes[0].pathPrefix",
                "{'routes':[{'name':'docs','pathPrefix':'/','methods':['GET'],'service':'docs','kind':0,"
                        + "'trafficPolicy':'docs'}]}|routes[0].kind",
                "{'services':[{'name':'Docs!','slots':1,'connections':1}]}|services[0].name: service name is not",
                "{'routes':[{'name':'docs','pathPrefix':'/','methods':['GET'],'service':'docs','kind':'WALK',"
                        + "'trafficPolicy':'docs'}]}|routes[0].kind",
            },
            quoteCharacter = '`')
    void shouldNameFileAndPathWhenAFieldIsUnknownOrMalformed(String content, String expected) throws IOException {
        Path file = Files.writeString(folder.resolve("wrong.json"), content.replace('\'', '"'));

        CommandFailure.MalformedFile failure =
                (CommandFailure.MalformedFile) DeclarationReader.read(folder).getLeft();

        assertThat(failure.file()).isEqualTo(file.toString());
        assertThat(failure.describe()).startsWith(file + ": " + expected + (expected.contains(":") ? "" : ": "));
    }

    @Test
    void shouldFailWhenTheFolderContainsNoDeclaration() {
        assertThat(DeclarationReader.read(folder).getLeft()).isInstanceOf(CommandFailure.NoDeclaration.class);
    }
}
