/** Test doubles of the store, targets and callers, load generators and benchmarks; not part of a distribution. */
package org.oleanderturn.testbed;
