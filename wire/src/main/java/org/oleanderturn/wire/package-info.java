/** Length-prefixed MessagePack frames over TCP, used for control messages between nodes. */
package org.oleanderturn.wire;
