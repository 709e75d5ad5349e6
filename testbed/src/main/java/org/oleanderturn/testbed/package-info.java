/** Stand-ins for the platform, targets and callers, with the benchmarks; never shipped. */
package org.oleanderturn.testbed;
