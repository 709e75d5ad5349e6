/** At-most-once execution of bookings, based on durable claims of idempotency keys in the platform's store. */
package org.oleanderturn.claims;
