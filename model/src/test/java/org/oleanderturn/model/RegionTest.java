package org.oleanderturn.model;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class RegionTest {
    @Test
    void shouldEqualOnlyThoseWithTheSameValuesWhenCompared() {
        Region region = Region.of("a1");
        assertThat(region).isEqualTo(Region.of("a1"));
        assertThat(region.hashCode()).isEqualTo(Region.of("a1").hashCode());
        assertThat(region).isNotEqualTo(Region.of("a2"));
        Object other = AvailabilityZone.of("a1");
        assertThat(region).isNotEqualTo(other);
        assertThat(region).isNotEqualTo(null);
    }
}
