package org.oleanderturn.store;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The store's HTTP paths, parameters and JSON bodies.
 *
 * <p>Byte arrays are written as base64. Stateless and thread safe.
 */
public final class StoreProtocol {
    /** The path of every key. */
    public static final String KEYS_PATH = "/v1/keys";
    /** The path of every lease. */
    public static final String LEASES_PATH = "/v1/leases";
    /** The last part of the path that keeps a lease alive. */
    public static final String KEEP_ALIVE_SUFFIX = "/keep-alive";
    /** The parameter with the start of the listed keys. */
    public static final String PREFIX_PARAMETER = "prefix";
    /** The parameter with the revision a watch already knows. */
    public static final String SEEN_PARAMETER = "seen";
    /** The parameter with the longest wait of a watch. */
    public static final String WAIT_PARAMETER = "waitMilliseconds";
    /** The parameter with the revision a write expects. */
    public static final String EXPECTED_PARAMETER = "expected";
    /** The parameter with the lease that a written key hangs on. */
    public static final String LEASE_PARAMETER = "lease";

    private StoreProtocol() {}

    /** Returns the path of a key. */
    public static String keyPath(String key) {
        return KEYS_PATH + "/" + encode(key);
    }

    /** Returns the path of a lease. */
    public static String leasePath(LeaseId lease) {
        return LEASES_PATH + "/" + lease.number();
    }

    /** Returns text as it stands in a path or parameter. */
    public static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /** Returns the text that a path or parameter stands for. */
    public static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    // -- bodies

    /** The body of a write. */
    @SuppressWarnings("ArrayRecordComponent")
    public record WriteBody(byte[] value) {}

    /** The answer to a read of one key. */
    @SuppressWarnings("ArrayRecordComponent")
    public record KeyBody(String key, long revision, byte[] value) {}

    /** The answer to a read of many keys. */
    public record KeysBody(List<KeyBody> keys) {}

    /** The answer to a write, and to a conflict. */
    public record RevisionBody(long revision) {}

    /** The request of a lease. */
    public record LeaseRequestBody(long timeToLiveMilliseconds) {}

    /** The answer with a lease. */
    public record LeaseBody(long lease) {}
}
