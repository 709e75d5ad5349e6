package org.oleanderturn.model;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class AvailabilityZoneTest {
    @Test
    void shouldEqualOnlyThoseWithTheSameValuesWhenCompared() {
        AvailabilityZone zone = AvailabilityZone.of("a1");
        assertThat(zone).isEqualTo(AvailabilityZone.of("a1"));
        assertThat(zone.hashCode()).isEqualTo(AvailabilityZone.of("a1").hashCode());
        assertThat(zone).isNotEqualTo(AvailabilityZone.of("a2"));
        Object other = Region.of("a1");
        assertThat(zone).isNotEqualTo(other);
        assertThat(zone).isNotEqualTo(null);
    }
}
