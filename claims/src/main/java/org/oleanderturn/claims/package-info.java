/** At-most-once execution of bookings by claims that are durable in the platform's store. */
package org.oleanderturn.claims;
