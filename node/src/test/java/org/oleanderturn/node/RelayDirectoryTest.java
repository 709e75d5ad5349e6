package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.oleanderturn.distribution.RelayRegistration;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.store.FakeStore;
import org.oleanderturn.store.StoredValue;

class RelayDirectoryTest {
    private final FakeStore store = FakeStore.create();
    private long now;
    private final RelayDirectory relayDirectory = new RelayDirectory(store, _ -> OptionalInt.empty(), () -> now);

    @Test
    void shouldFindRelaysOfEveryZoneWhenSomeEntriesAreMalformed() {
        Address address = Address.of("127.0.0.1", 23001);
        store.compareAndSwap(
                "relay/hobart/0", StoredValue.ABSENT, new RelayRegistration(NodeId.of("one"), address).encode());
        store.compareAndSwap("relay/hobart/1", StoredValue.ABSENT, "one".getBytes(StandardCharsets.UTF_8));
        store.compareAndSwap(
                "relay/huonville/0", StoredValue.ABSENT, "two 127.0.0.1:x".getBytes(StandardCharsets.UTF_8));

        assertThat(relayDirectory.relays()).containsExactly(address);
    }

    @Test
    void shouldTakeTheFleetForRunningWhenRelaysAreFoundAtOnce() {
        register();
        now += 20;
        relayDirectory.relays();
        assertThat(relayDirectory.isFleetRunning()).isTrue();
    }

    /** Guards against all nodes of a region that read the configuration at once, as relays of the other one started sooner. */
    @Test
    void shouldNotTakeTheFleetForRunningWhenTheStoreAnswersOnlyAfterOthersHadTimeToRegister() {
        store.setDefaultFault(FakeStore.Fault.UNREACHABLE);
        relayDirectory.relays();
        store.setDefaultFault(FakeStore.Fault.NONE);
        register();
        now += 2_900;
        relayDirectory.relays();
        assertThat(relayDirectory.isFleetRunning()).isFalse();
    }

    private void register() {
        RelayRegistration relay = new RelayRegistration(NodeId.of("one"), Address.of("127.0.0.1", 23001));
        store.compareAndSwap("relay/hobart/0", StoredValue.ABSENT, relay.encode());
    }

    @Test
    void shouldReturnNoRelaysWhenTheStoreIsUnreachable() {
        store.setDefaultFault(FakeStore.Fault.UNREACHABLE);

        assertThat(relayDirectory.relays()).isEmpty();
    }
}
