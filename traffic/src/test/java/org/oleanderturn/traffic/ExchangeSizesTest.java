package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.RouteName;

final class ExchangeSizesTest {
    private static final RouteName FIRST = RouteName.of("first");
    private static final RouteName SECOND = RouteName.of("second");

    private final ExchangeSizes sizes = ExchangeSizes.empty();

    @Test
    void shouldExpectMoreBytesOfADownloadWhenThereAreNoSamples() {
        assertThat(sizes.expectedBytes(FIRST, RequestKind.DOWNLOAD))
                .isGreaterThan(sizes.expectedBytes(FIRST, RequestKind.LOOKUP));
    }

    @Test
    void shouldFollowTheNewestExchangesWhenTheirSizeChanges() {
        sizes.record(FIRST, 0, 1_000);
        assertThat(sizes.expectedBytes(FIRST, RequestKind.LOOKUP)).isEqualTo(2_000);
        for (int exchange = 0; exchange < 50; exchange++) {
            sizes.record(FIRST, 4_000, 5_000);
        }
        assertThat(sizes.expectedBytes(FIRST, RequestKind.LOOKUP)).isWithin(100).of(10_000);
    }

    @Test
    void shouldKeepRoutesSeparateWhenOneHasLargeResponses() {
        sizes.record(FIRST, 0, 90_000);
        assertThat(sizes.expectedBytes(SECOND, RequestKind.LOOKUP)).isLessThan(10_000);
    }
}
