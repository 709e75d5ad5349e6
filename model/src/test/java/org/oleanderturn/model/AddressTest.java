package org.oleanderturn.model;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class AddressTest {
    @Test
    void shouldEqualOnlyThoseWithTheSameValuesWhenCompared() {
        Address address = Address.of("127.0.0.1", 80);
        assertThat(address).isEqualTo(Address.of("127.0.0.1", 80));
        assertThat(address.hashCode()).isEqualTo(Address.of("127.0.0.1", 80).hashCode());
        assertThat(address).isNotEqualTo(Address.of("127.0.0.2", 80));
        assertThat(address).isNotEqualTo(Address.of("127.0.0.1", 81));
        Object other = "127.0.0.1:80";
        assertThat(address).isNotEqualTo(other);
        assertThat(address).isNotEqualTo(null);
    }
}
