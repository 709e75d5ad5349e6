package org.oleanderturn.model;

/**
 * The limit on the requests of an organisation, which all nodes keep together.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestsPerSecond the sustained rate, in requests per second
 * @param burst the requests that may come at once in addition to the rate
 */
public record RequestLimit(double requestsPerSecond, double burst) {}
