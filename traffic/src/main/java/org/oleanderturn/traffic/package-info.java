/** Decisions on the request path: load balancing, admission control, retries, hedging, outlier ejection and crash quarantine. */
package org.oleanderturn.traffic;
