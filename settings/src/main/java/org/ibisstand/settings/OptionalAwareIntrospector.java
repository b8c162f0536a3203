package org.ibisstand.settings;

import com.fasterxml.jackson.databind.introspect.AnnotatedMember;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import java.util.Optional;

/** Requires every value of a record that is not optional. */
final class OptionalAwareIntrospector extends JacksonAnnotationIntrospector {
    private static final long serialVersionUID = 1L;

    @Override
    public Boolean hasRequiredMarker(AnnotatedMember member) {
        return member.getRawType() != Optional.class;
    }
}
