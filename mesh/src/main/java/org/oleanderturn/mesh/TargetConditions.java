package org.oleanderturn.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.oleanderturn.model.NodeId;

/**
 * The conditions of all targets, as far as this node knows; a replica that nodes keep alike by exchanging them.
 *
 * <p>Invariant: one condition per node, which is never replaced by an older one. Thread safe; queries don't block.
 */
public final class TargetConditions {
    private static final long HASH_FACTOR = 31;

    private final ConcurrentHashMap<NodeId, TargetCondition> conditions = new ConcurrentHashMap<>();

    private TargetConditions() {}

    /** Returns an empty replica. */
    public static TargetConditions empty() {
        return new TargetConditions();
    }

    // -- queries

    /** Returns the condition of a node's target; empty if the target never asked anything. */
    public Optional<TargetCondition> find(NodeId node) {
        return Optional.ofNullable(conditions.get(node));
    }

    /** Returns whether the target of a node is known to leave. */
    public boolean isLeaving(NodeId node) {
        TargetCondition condition = conditions.get(node);
        return condition != null && condition.isLeaving();
    }

    /** Returns all conditions. */
    public List<TargetCondition> known() {
        return new ArrayList<>(conditions.values());
    }

    /** Returns a hash that is equal for replicas that know the same. */
    public long digest() {
        long digest = 0;
        for (TargetCondition condition : conditions.values()) {
            digest += condition.hashCode() * HASH_FACTOR;
        }
        return digest;
    }

    // -- commands

    /** Adds what is known of a node's target. */
    public void merge(TargetCondition condition) {
        Objects.requireNonNull(condition, "condition is null");
        conditions.merge(condition.node(), condition, TargetCondition::join);
    }

    /** Forgets the target of a node that has left. */
    public void remove(NodeId node) {
        conditions.remove(node);
    }
}
