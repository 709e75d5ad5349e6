/**
 * Value types shared by all modules: identifiers, the declared configuration and its validation, versions, deltas and
 * digests.
 *
 * <p>All value types are immutable. Nothing in this package does I/O, reads a clock or uses randomness.
 */
package org.oleanderturn.model;
