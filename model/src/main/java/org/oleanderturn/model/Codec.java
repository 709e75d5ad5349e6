package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.type.LogicalType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vavr.control.Either;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes records as JSON, as MessagePack, and as compressed MessagePack.
 *
 * <p>Invariant: decoding is strict. An unknown field or a null for a primitive is a failure. JSON decoding also rejects
 * trailing content, duplicate fields and scalars of the wrong type. Thread safe.
 */
public final class Codec {
    private static final int MAXIMUM_INFLATED_BYTES = 64 * 1024 * 1024;
    private static final Codec JSON =
            new Codec(strictJson(strict(JsonMapper.builder().build())));
    private static final Codec MESSAGE_PACK = new Codec(strict(new ObjectMapper(new MessagePackFactory())));

    private final ObjectMapper mapper;

    private Codec(ObjectMapper mapper) {
        this.mapper = mapper;
    }

    /** Returns the codec for JSON. */
    public static Codec json() {
        return JSON;
    }

    /** Returns the codec for MessagePack. */
    public static Codec messagePack() {
        return MESSAGE_PACK;
    }

    // -- core operations

    /** Encodes a value; one that cannot be encoded is an {@link UncheckedIOException}. */
    public byte[] encode(Object value) {
        try {
            return mapper.writeValueAsBytes(value);
        } catch (JsonProcessingException cause) {
            throw new UncheckedIOException("cannot encode a value of " + value.getClass(), cause);
        }
    }

    /** Decodes a value of the given type; a malformed encoding is a {@link DecodeFailure}. */
    public <T> Either<DecodeFailure, T> decode(byte[] bytes, Class<T> type) {
        try {
            T value = mapper.readValue(bytes, type);
            return value == null ? Either.left(DecodeFailure.of("", "value is null")) : Either.right(value);
        } catch (IOException cause) {
            return Either.left(DecodeFailure.of(cause));
        } catch (RuntimeException cause) {
            return Either.left(DecodeFailure.of("", String.valueOf(cause.getMessage())));
        }
    }

    // -- derived operations

    /** Encodes a value and compresses the encoding with DEFLATE (zlib format). */
    public byte[] encodeCompressed(Object value) {
        return compress(encode(value), Deflater.DEFAULT_COMPRESSION);
    }

    /** Encodes a value as {@link #encodeCompressed} does, in less time and more bytes. */
    public byte[] encodeCompressedFast(Object value) {
        return compress(encode(value), Deflater.BEST_SPEED);
    }

    private static byte[] compress(byte[] encoded, int level) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        Deflater deflater = new Deflater(level);
        try (DeflaterOutputStream output = new DeflaterOutputStream(bytes, deflater)) {
            output.write(encoded);
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        } finally {
            deflater.end();
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a compressed value of the given type; a malformed encoding is a {@link DecodeFailure}. At most 64 MiB of
     * decompressed bytes are read.
     */
    public <T> Either<DecodeFailure, T> decodeCompressed(byte[] bytes, Class<T> type) {
        try (InputStream inflater = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
            byte[] inflated = inflater.readNBytes(MAXIMUM_INFLATED_BYTES);
            return decode(inflated, type);
        } catch (IOException cause) {
            return Either.left(DecodeFailure.of(cause));
        }
    }

    /** Encodes a value as text; only for JSON. */
    public String encodeText(Object value) {
        return new String(encode(value), StandardCharsets.UTF_8);
    }

    /** Encodes a value as indented text; only for JSON. */
    public String encodeIndented(Object value) {
        try {
            return mapper.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException cause) {
            throw new UncheckedIOException("cannot encode a value of " + value.getClass(), cause);
        }
    }

    private static ObjectMapper strict(ObjectMapper mapper) {
        return mapper.setAnnotationIntrospector(new SealedSubtypeIntrospector())
                .registerModule(new Jdk8Module())
                .setDefaultPropertyInclusion(JsonInclude.Include.NON_ABSENT)
                .configure(MapperFeature.AUTO_DETECT_IS_GETTERS, false)
                .configure(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY, true)
                .configure(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS, true)
                .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, true)
                .configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, true)
                .configure(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES, false);
    }

    private static ObjectMapper strictJson(ObjectMapper mapper) {
        mapper.coercionConfigFor(LogicalType.Textual)
                .setCoercion(CoercionInputShape.Integer, CoercionAction.Fail)
                .setCoercion(CoercionInputShape.Float, CoercionAction.Fail)
                .setCoercion(CoercionInputShape.Boolean, CoercionAction.Fail);
        return mapper.configure(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, true)
                .configure(DeserializationFeature.ACCEPT_FLOAT_AS_INT, false)
                .configure(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS, true)
                .configure(MapperFeature.ALLOW_COERCION_OF_SCALARS, false)
                .configure(JsonParser.Feature.STRICT_DUPLICATE_DETECTION, true);
    }
}
