/** The decisions of the request path: balancing, limits, retries, hedges, outlier ejection and quarantine. */
package org.oleanderturn.traffic;
