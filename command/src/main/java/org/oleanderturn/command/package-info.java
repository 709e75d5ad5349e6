/** The operators' command line: commands and queries. */
package org.oleanderturn.command;
