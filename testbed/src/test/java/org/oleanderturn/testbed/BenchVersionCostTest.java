package org.oleanderturn.testbed;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderturn.distribution.ConfigurationUpdate;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.ConfigurationDelta;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationValidator;
import org.oleanderturn.node.ControlMessage;
import org.oleanderturn.wire.Frame;

/** Checks the arithmetic and the inputs of the experiments on the cost of one version. */
final class BenchVersionCostTest {
    private static final Address SENDER = Address.of("127.0.0.1", 1);
    private static final Address RECEIVER = Address.of("127.0.0.1", 2);

    @Test
    void shouldDeriveTheBudgetOfAVersionWhenTheTargetsAreByTheSecondAndTheDay() {
        assertThat(BenchVersionBudget.secondsBetweenVersions()).isWithin(0.01).of(27.87);
        assertThat(BenchVersionBudget.processorMilliseconds()).isWithin(1).of(1_254);
        assertThat(BenchVersionBudget.bytes()).isWithin(1).of(585_290);
        assertThat(BenchVersionBudget.bytesPerSecond(585_290)).isWithin(0.1).of(21_000);
    }

    @Test
    void shouldAddTheStepsWhenTheTotalOfASampleIsTaken() {
        BenchProcessorCost step = new BenchProcessorCost(1_500_000, 2_048);
        BenchVersionCostSample sample = new BenchVersionCostSample(List.of(step, step, step, step), 10, 20, 30, 1);
        assertThat(sample.milliseconds()).isWithin(1e-9).of(6);
        assertThat(sample.total().allocatedKibibytes()).isWithin(1e-9).of(8);
        assertThat(sample.controlBytes()).isEqualTo(30);
        assertThrows(IllegalArgumentException.class, () -> new BenchVersionCostSample(List.of(step), 0, 0, 0, 0));
    }

    @Test
    void shouldChangeOneRouteWhenTheNextVersionHasTheSameSize() {
        ConfigurationSnapshot before = BenchOperator.snapshot(1, 20);
        ConfigurationSnapshot after = BenchOperator.snapshot(2, 20);
        assertThat(ConfigurationValidator.validate(after.configuration())).isEmpty();
        assertThat(ConfigurationDelta.between(before, after).changed().routes()).hasSize(1);
        assertThat(ConfigurationDelta.between(before, BenchOperator.snapshot(2, 30))
                        .changed()
                        .routes())
                .hasSize(11);
    }

    @Test
    void shouldAdoptIndexAndPushTheVersionWhenANodeReceivesADelta() {
        ConfigurationSnapshot before = BenchOperator.snapshot(1, 20);
        BenchVersionNode node = BenchVersionNode.holding(before, false);
        ConfigurationDelta delta = ConfigurationDelta.between(before, BenchOperator.snapshot(2, 30));
        byte[] frame = BenchVersionNode.pushFrame(new ConfigurationUpdate.Delta(delta));
        node.handle(node.receive(frame));
        node.disseminate();
        assertThat(node.indexedRoutes()).isEqualTo(30);
        assertThat(node.pushes()).isEqualTo(3);
        assertThat(node.receivedBytes()).isGreaterThan(BenchVersionNode.wireBytes(frame));
        assertThat(node.sentBytes()).isGreaterThan(3 * BenchVersionNode.wireBytes(frame));
    }

    @Test
    void shouldCountAMessageAtBothNodesWhenItIsAboutVersions() {
        BenchVersionTraffic traffic = new BenchVersionTraffic();
        byte[] push = BenchVersionNode.pushFrame(
                new ConfigurationUpdate.Current(BenchOperator.snapshot(1, 1).version()));
        traffic.record(SENDER, RECEIVER, frameOf(push));
        traffic.record(RECEIVER, SENDER, frameOf(BenchVersionNode.encode(new ControlMessage.Noted())));
        BenchVersionTraffic.Count expected = new BenchVersionTraffic.Count(1, BenchVersionNode.wireBytes(push));
        assertThat(traffic.of(SENDER)).isEqualTo(expected);
        assertThat(traffic.of(RECEIVER)).isEqualTo(expected);
        assertThat(BenchVersionMessages.between(List.of(expected), List.of(expected)))
                .containsExactly(new BenchVersionTraffic.Count(0, 0));
    }

    private static Frame frameOf(byte[] encoded) {
        return Codec.messagePack().decode(encoded, Frame.class).get();
    }
}
