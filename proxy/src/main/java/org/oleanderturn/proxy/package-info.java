/**
 * The HTTP data plane: the entry, which handles requests of callers, and the guard, which admits requests to the
 * target.
 */
package org.oleanderturn.proxy;
