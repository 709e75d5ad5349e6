/** Who is there: gossip membership, endpoint states, incarnations and held versions. */
package org.oleanderturn.membership;
