package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class TargetStartTest {
    @Test
    void shouldEqualOnlyThoseWithTheSameValuesWhenCompared() {
        TargetStart start = new TargetStart("a1", 5);
        assertThat(start).isEqualTo(new TargetStart("a1", 5));
        assertThat(start.hashCode()).isEqualTo(new TargetStart("a1", 5).hashCode());
        assertThat(start).isNotEqualTo(new TargetStart("a2", 5));
        assertThat(start).isNotEqualTo(new TargetStart("a1", 6));
        Object other = "a1";
        assertThat(start).isNotEqualTo(other);
        assertThat(start).isNotEqualTo(null);
    }
}
