/**
 * The reading of HTTP/1.1 responses, for all clients of the project.
 *
 * <p>The library takes many responses that HTTP does not allow. A peer in trouble may send such a response instead of its
 * answer; this package rejects it.
 */
package org.oleanderturn.http;
