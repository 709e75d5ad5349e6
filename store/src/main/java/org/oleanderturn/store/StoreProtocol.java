package org.oleanderturn.store;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The HTTP paths, parameters and JSON bodies of {@link HttpStore} and its server.
 *
 * <p>Byte arrays are encoded as base64. Stateless and thread safe.
 */
public final class StoreProtocol {
    /** The path of a list of keys, and the start of the path of each key. */
    public static final String KEYS_PATH = "/v1/keys";
    /** The path that grants leases, and the start of the path of each lease. */
    public static final String LEASES_PATH = "/v1/leases";
    /** Appended to the path of a lease to keep it alive. */
    public static final String KEEP_ALIVE_SUFFIX = "/keep-alive";
    /** The parameter with the prefix of the keys to list. */
    public static final String PREFIX_PARAMETER = "prefix";
    /** The parameter with the last known revision of the key to watch. */
    public static final String SEEN_PARAMETER = "seen";
    /** The parameter with the maximum wait of a watch, in milliseconds. */
    public static final String WAIT_PARAMETER = "waitMilliseconds";
    /** The parameter with the revision that a write expects; 0 for an absent key. */
    public static final String EXPECTED_PARAMETER = "expected";
    /** The parameter with the lease that a written key is removed with. */
    public static final String LEASE_PARAMETER = "lease";

    private StoreProtocol() {}

    /** Returns the path of a key; the key is URL-encoded in it. */
    public static String keyPath(String key) {
        return KEYS_PATH + "/" + encode(key);
    }

    /** Returns the path of a lease. */
    public static String leasePath(LeaseId lease) {
        return LEASES_PATH + "/" + lease.number();
    }

    /** URL-encodes a part of a path or a parameter; a space becomes a plus sign. */
    public static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /**
     * Decodes a part of a path or a parameter.
     *
     * @throws IllegalArgumentException when the text is not URL-encoded
     */
    public static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    // -- bodies

    /** The body of a write. */
    @SuppressWarnings("ArrayRecordComponent")
    public record WriteBody(byte[] value) {}

    /** The response to a read of one key. */
    @SuppressWarnings("ArrayRecordComponent")
    public record KeyBody(String key, long revision, byte[] value) {}

    /** The response to a list of keys. */
    public record KeysBody(List<KeyBody> keys) {}

    /** The response to a write, with the new revision, or to a conflict, with the current one. */
    public record RevisionBody(long revision) {}

    /** The request for a lease. */
    public record LeaseRequestBody(long timeToLiveMilliseconds) {}

    /** The response to a request for a lease. */
    public record LeaseBody(long lease) {}
}
