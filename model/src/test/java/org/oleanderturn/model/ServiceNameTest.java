package org.oleanderturn.model;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class ServiceNameTest {
    @Test
    void shouldEqualOnlyThoseWithTheSameValuesWhenCompared() {
        ServiceName service = ServiceName.of("a1");
        assertThat(service).isEqualTo(ServiceName.of("a1"));
        assertThat(service.hashCode()).isEqualTo(ServiceName.of("a1").hashCode());
        assertThat(service).isNotEqualTo(ServiceName.of("a2"));
        Object other = NodeId.of("a1");
        assertThat(service).isNotEqualTo(other);
        assertThat(service).isNotEqualTo(null);
    }
}
