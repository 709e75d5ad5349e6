/**
 * The platform's key-value store as the system uses it: compare-and-swap, leases and watches, with typed failures.
 */
package org.oleanderturn.store;
