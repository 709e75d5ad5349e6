/**
 * The operators' command line: commands change something, queries never do.
 *
 * <p>An answer says no more than is certain. What was refused did not run; what can't be known is called undetermined,
 * with the id to ask for later.
 */
package org.oleanderturn.command;
