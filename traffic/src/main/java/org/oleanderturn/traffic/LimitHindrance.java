package org.oleanderturn.traffic;

/** Why a node does not use its right to the limits of organisations yet. */
public enum LimitHindrance {
    /** A right that an earlier process of this node gave away may still be in use. */
    JUST_STARTED,

    /** The store names relays that are not known as members. */
    MEMBERS_MISSING,

    /** The number of members has changed lately. */
    MEMBERS_CHANGING,

    /** Too many members are unreachable, which may not know of this node. */
    MEMBERS_UNREACHABLE
}
