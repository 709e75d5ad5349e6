package org.oleanderturn.distribution;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.ProposalId;
import org.oleanderturn.store.StoreLimits;

class ConfigurationHeadTest {

    @Test
    void shouldDropTheOldestOutcomesWhenThereAreMoreThanTheMaximum() {
        ConfigurationHead head = ConfigurationHead.empty();
        for (int number = 1; number <= ConfigurationHead.MAXIMUM_OUTCOMES + 2; number++) {
            head = head.accept(
                    Samples.proposal("change-" + number, Samples.services(10, 10)),
                    Samples.snapshot(number),
                    ConfigurationVersion.of(number - 1));
        }

        assertThat(head.outcomes()).hasSize(ConfigurationHead.MAXIMUM_OUTCOMES);
        assertThat(head.recordedSince()).isEqualTo(ConfigurationVersion.of(3));
        assertThat(head.outcome(ProposalId.of("change-2"))).isEqualTo(Optional.empty());
    }

    @Test
    void shouldFitIntoTheStoreWhenOutcomesAreAtTheMaximumAndServicesAreMany() {
        ConfigurationHead head = ConfigurationHead.empty();
        for (int number = 1; number <= ConfigurationHead.MAXIMUM_OUTCOMES; number++) {
            head = head.accept(
                    Samples.proposal("change-" + number, Samples.services(number, 10)),
                    Samples.snapshot(number),
                    ConfigurationVersion.of(number - 1));
        }
        ConfigurationSnapshot large =
                ConfigurationSnapshot.of(ConfigurationVersion.of(2_000), Samples.manyServices(170));
        byte[] bytes = head.accept(Samples.proposal("large", large.configuration()), large, head.version())
                .encode();

        System.out.println("head with 170 services and the maximum number of outcomes: " + bytes.length + " bytes");
        assertThat(bytes.length).isLessThan(StoreLimits.MAXIMUM_VALUE_BYTES / 4);
        assertThat(ConfigurationHead.decode(bytes).get().snapshot()).isEqualTo(large);
    }

    @Test
    void shouldBeContinuedByALaterHeadWhenOneWriteFollowed() {
        ConfigurationHead first = ConfigurationHead.empty()
                .accept(
                        Samples.proposal("first", Samples.services(1, 1)),
                        Samples.snapshot(1),
                        ConfigurationVersion.none());
        ConfigurationHead second = first.fence(Samples.proposal("second", Samples.services(2, 1)));
        ConfigurationHead restored = ConfigurationHead.empty()
                .fence(Samples.proposal("other", Samples.services(2, 1)))
                .fence(Samples.proposal("another", Samples.services(2, 1)));

        assertThat(first.isContinuedBy(second)).isTrue();
        assertThat(second.isContinuedBy(first)).isFalse();
        assertThat(first.isContinuedBy(first)).isFalse();
        assertThat(first.isContinuedBy(restored)).isFalse();
    }
}
