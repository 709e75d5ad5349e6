package org.oleanderturn.membership;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes a {@link GossipRecord} as an array that ends before the version where there is none.
 *
 * <p>Stateless and thread safe.
 */
final class GossipRecordSerializer extends StdSerializer<GossipRecord> {
    private static final long serialVersionUID = 1;

    GossipRecordSerializer() {
        super(GossipRecord.class);
    }

    @Override
    public void serialize(GossipRecord gossip, JsonGenerator generator, SerializerProvider provider)
            throws IOException {
        List<Object> elements = new ArrayList<>(List.of(
                gossip.node(),
                gossip.address(),
                gossip.controlAddress(),
                gossip.region(),
                gossip.zone(),
                gossip.service(),
                gossip.slots(),
                gossip.state(),
                gossip.incarnation(),
                gossip.heldVersion(),
                gossip.rememberedVersion(),
                gossip.liveness(),
                gossip.ageSeconds()));
        gossip.version().ifPresent(elements::add);
        generator.writeStartArray(gossip, elements.size());
        for (Object element : elements) {
            provider.defaultSerializeValue(element, generator);
        }
        generator.writeEndArray();
    }
}
