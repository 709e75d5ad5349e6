package org.oleanderturn.model;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class LocalityTest {
    @Test
    void shouldEqualOnlyThoseWithTheSameValuesWhenCompared() {
        Locality locality = Locality.of("a1", "b1");
        assertThat(locality).isEqualTo(Locality.of("a1", "b1"));
        assertThat(locality.hashCode()).isEqualTo(Locality.of("a1", "b1").hashCode());
        assertThat(locality).isNotEqualTo(Locality.of("a2", "b1"));
        assertThat(locality).isNotEqualTo(Locality.of("a1", "b2"));
        Object other = Region.of("a1");
        assertThat(locality).isNotEqualTo(other);
        assertThat(locality).isNotEqualTo(null);
    }
}
