package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Why a configuration can't be accepted, with the path of the object at fault.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface ConfigurationFault {

    /** Returns the path of the object at fault, such as {@code routes/bookings-api}. */
    String path();

    /** Two objects of one sort have the same name. */
    record DuplicateName(String path) implements ConfigurationFault {}

    /** A route names a service that is not declared. */
    record UnknownService(String path, ServiceName service) implements ConfigurationFault {}

    /** A route names a traffic policy that is not declared. */
    record UnknownTrafficPolicy(String path, TrafficPolicyName trafficPolicy) implements ConfigurationFault {}

    /** A route's prefix does not start with a slash, or holds white space, a query or a fragment. */
    record MalformedPrefix(String path, String prefix) implements ConfigurationFault {}

    /** A route lists no method, a method twice, or one that is no upper-case word. */
    record MalformedMethods(String path) implements ConfigurationFault {}

    /** Two routes take the same method and prefix. */
    record ShadowedRoute(String path, RouteName by) implements ConfigurationFault {}

    /** A route's method does not fit its kind: lookups and downloads only read. */
    record MethodUnfitForKind(String path, String method, RequestKind kind) implements ConfigurationFault {}

    /** A number is outside its range; both bounds are inclusive. */
    record OutOfRange(String path, String field, long found, long lowest, long highest) implements ConfigurationFault {}

    /** The encoded configuration is larger than the platform's store holds. Sizes are in bytes. */
    record TooLarge(String path, long found, long highest) implements ConfigurationFault {}
}
