/**
 * Clients of a key-value store with compare-and-swap, leases and watches; failures are typed.
 */
package org.oleanderturn.store;
