package org.ibisstand.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.exc.InvalidTypeIdException;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** Puts faults of JSON texts into words for operators: the path, the fault, what is allowed. */
final class JsonFault {
    private JsonFault() {}

    /** Describes a text that does not fit what is read. */
    static String describe(JsonMappingException e) {
        String path = pathOf(e);
        return switch (e) {
            case UnrecognizedPropertyException unknown ->
                    path + ": unknown key; allowed are " + sorted(unknown);
            case InvalidTypeIdException type -> path + ": " + type.getOriginalMessage();
            case ValueInstantiationException value -> path + ": " + causeOf(value);
            case MismatchedInputException mismatch -> path + ": " + describeMismatch(mismatch);
            default -> path + ": " + e.getOriginalMessage();
        };
    }

    /** Describes a text that is not JSON. */
    static String describeSyntax(JsonProcessingException e) {
        JsonLocation location = e.getLocation();
        String place =
                location == null
                        ? ""
                        : " at line " + location.getLineNr() + " column " + location.getColumnNr();
        return "$: not JSON" + place + ": " + e.getOriginalMessage();
    }

    private static String describeMismatch(MismatchedInputException e) {
        String message = e.getOriginalMessage();
        if (message.startsWith("Missing required")) {
            return "missing; needed is a value";
        }
        if (message.startsWith("Null value")) {
            return "null is not allowed; needed is a value";
        }
        Optional<Class<?>> target = Optional.ofNullable(e.getTargetType());
        return "wrong type; needed is " + target.map(JsonFault::typeName).orElse("another");
    }

    private static String typeName(Class<?> type) {
        if (type == int.class || type == long.class) {
            return "a whole number";
        }
        if (type == Integer.class || type == Long.class) {
            return "a whole number";
        }
        if (type == double.class || type == Double.class) {
            return "a number";
        }
        if (type == boolean.class || type == Boolean.class) {
            return "true or false";
        }
        if (type == String.class) {
            return "a text";
        }
        return List.class.isAssignableFrom(type) ? "a list" : "an object";
    }

    private static String causeOf(ValueInstantiationException e) {
        return Objects.requireNonNullElse(e.getCause(), e).getMessage();
    }

    private static List<Object> sorted(UnrecognizedPropertyException e) {
        return List.copyOf(new TreeSet<>(e.getKnownPropertyIds()));
    }

    private static String pathOf(JsonMappingException e) {
        return e.getPath().stream().map(JsonFault::step).collect(Collectors.joining("", "$", ""));
    }

    private static String step(JsonMappingException.Reference reference) {
        String name = reference.getFieldName();
        return name == null ? "[" + reference.getIndex() + "]" : "." + name;
    }
}
