/**
 * The operators' command line: commands change the mesh or check a change, queries only read.
 *
 * <p>Output reports only what is known for certain. A refused request did not run. When it is unknown whether a proposal
 * took effect, its outcome is undetermined and can be queried later by the proposal's id.
 */
package org.oleanderturn.command;
