package org.oleanderturn.mesh;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.KeyDigest;
import org.oleanderturn.model.OrganisationName;

/**
 * What an entry tells a guard of the key of a request, so that the guard refuses it once a newer version has removed the key.
 *
 * <p>Invariant: the text form hides the digest. Immutable and thread safe.
 *
 * @param version the version of the configuration by which the entry admitted the key
 * @param digestPrefix the part of the key's digest that tells it from other keys of its organisation
 */
record CheckedKey(ConfigurationVersion version, String digestPrefix) {
    private static final Pattern FORMAT = Pattern.compile("([0-9]{1,15}):([0-9a-f]{16})");

    CheckedKey {
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(digestPrefix, "digestPrefix is null");
    }

    /** Returns what to tell of a key that was admitted by a version. */
    static CheckedKey of(ConfigurationVersion version, KeyDigest digest) {
        return new CheckedKey(version, digest.prefix());
    }

    /** Parses the value of a header; empty if it is malformed. */
    static Optional<CheckedKey> parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        return matcher.matches()
                ? Optional.of(
                        new CheckedKey(ConfigurationVersion.of(Long.parseLong(matcher.group(1))), matcher.group(2)))
                : Optional.empty();
    }

    /** Returns the value of the header. */
    String headerValue() {
        return version.number() + ":" + digestPrefix;
    }

    /** Returns whether an index as new as the entry's shows that the organisation no longer has the key. */
    boolean isRemovedBy(RouteIndex index, OrganisationName organisation) {
        return !version.isAfter(index.snapshot().version())
                && index.areKeysRequired()
                && !index.hasKey(organisation, digestPrefix);
    }

    @Override
    public String toString() {
        return "CheckedKey[version=" + version + "]";
    }
}
