/**
 * Values shared by every module: identifiers, the declaration format with its validation, versions, deltas and digests.
 *
 * <p>Everything here is immutable. Nothing here reads a clock, a socket or a random number.
 */
package org.oleanderturn.model;
