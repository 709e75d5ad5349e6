package org.oleanderturn.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.oleanderturn.model.Codec;

/**
 * Reads and validates a node's settings.
 *
 * <p>Stateless and thread safe.
 */
public final class SettingsReader {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private SettingsReader() {}

    /** Reads a settings file; returns the settings, or a non-empty list of its faults. */
    public static Either<List<SettingsFault>, NodeSettings> read(Path file) {
        Objects.requireNonNull(file, "file is null");
        try {
            return parse(Files.readAllBytes(file));
        } catch (IOException cause) {
            return Either.left(List.of(new SettingsFault.Unreadable(file.toString(), cause.toString())));
        }
    }

    /** Parses the contents of a settings file; returns the settings, or a non-empty list of its faults. */
    static Either<List<SettingsFault>, NodeSettings> parse(byte[] bytes) {
        JsonNode root;
        try {
            root = MAPPER.readTree(bytes);
        } catch (JsonProcessingException cause) {
            String place = "line " + cause.getLocation().getLineNr();
            return Either.left(List.of(new SettingsFault.Malformed(place, cause.getOriginalMessage())));
        } catch (IOException cause) {
            return Either.left(List.of(new SettingsFault.Malformed("file", cause.toString())));
        }
        if (!root.isObject()) {
            return Either.left(List.of(new SettingsFault.Wrong(
                    "file", "an object", root.getNodeType().name())));
        }
        List<SettingsFault> faults = SettingsSchema.check(root);
        if (!faults.isEmpty()) {
            return Either.left(faults);
        }
        return Codec.json()
                .decode(bytes, NodeSettings.class)
                .mapLeft(failure -> List.of(new SettingsFault.Wrong(failure.path(), "a setting", failure.reason())));
    }
}
