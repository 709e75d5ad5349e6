/** Length-prefixed frames of MessagePack over TCP, which carry control messages between nodes. */
package org.oleanderturn.wire;
