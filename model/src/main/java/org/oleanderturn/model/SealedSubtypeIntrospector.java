package org.oleanderturn.model;

import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import java.util.Arrays;
import java.util.List;

/**
 * Registers the permitted subclasses of a sealed type as its Jackson subtypes, so that no annotation has to list them.
 *
 * <p>Stateless and thread safe.
 */
final class SealedSubtypeIntrospector extends JacksonAnnotationIntrospector {
    private static final long serialVersionUID = 1L;

    @Override
    public List<NamedType> findSubtypes(Annotated annotated) {
        if (!annotated.getRawType().isSealed()) {
            return super.findSubtypes(annotated);
        }
        return Arrays.stream(annotated.getRawType().getPermittedSubclasses())
                .map(NamedType::new)
                .toList();
    }
}
