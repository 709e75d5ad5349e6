package org.oleanderturn.model;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class NodeIdTest {
    @Test
    void shouldEqualOnlyThoseWithTheSameValuesWhenCompared() {
        NodeId node = NodeId.of("a1");
        assertThat(node).isEqualTo(NodeId.of("a1"));
        assertThat(node.hashCode()).isEqualTo(NodeId.of("a1").hashCode());
        assertThat(node).isNotEqualTo(NodeId.of("a2"));
        Object other = ServiceName.of("a1");
        assertThat(node).isNotEqualTo(other);
        assertThat(node).isNotEqualTo(null);
    }
}
