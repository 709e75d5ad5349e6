package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A validation error of a configuration, with the path of the invalid object.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface ConfigurationFault {

    /**
     * Returns the path of the invalid object, such as {@code routes/bookings-api}; empty for the whole configuration.
     */
    String path();

    /** Two objects of the same type have the same name. */
    record DuplicateName(String path) implements ConfigurationFault {}

    /** A route names a service that is not declared. */
    record UnknownService(String path, ServiceName service) implements ConfigurationFault {}

    /** A route names a traffic policy that is not declared. */
    record UnknownTrafficPolicy(String path, TrafficPolicyName trafficPolicy) implements ConfigurationFault {}

    /** A route's prefix does not start with a slash, or it contains white space, a query or a fragment. */
    record MalformedPrefix(String path, String prefix) implements ConfigurationFault {}

    /** A route lists no method, lists a method twice, or lists one that is not 1 to 20 upper-case letters. */
    record MalformedMethods(String path) implements ConfigurationFault {}

    /** A route has the same host, method and prefix as the route {@code by}, which takes precedence. */
    record ShadowedRoute(String path, RouteName by) implements ConfigurationFault {}

    /** A route's method does not fit its kind: lookups and downloads allow only safe methods. */
    record MethodUnfitForKind(String path, String method, RequestKind kind) implements ConfigurationFault {}

    /** An organisation holds a key that the organisation {@code other}, or itself, holds already; the key is not shown. */
    record SharedKey(String path, OrganisationName other) implements ConfigurationFault {}

    /** A value is outside its range; both bounds are inclusive. */
    record OutOfRange(String path, String field, long found, long lowest, long highest) implements ConfigurationFault {}

    /** The encoded configuration exceeds the size limit of the platform's store. Sizes are in bytes. */
    record TooLarge(String path, long found, long highest) implements ConfigurationFault {}
}
