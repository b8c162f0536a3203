package org.ibisstand.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.stream.Collectors;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Reads and writes JSON strictly: an unknown, missing or mistyped value is an error. */
public final class JsonReader {
    private final JsonMapper mMapper;

    private JsonReader(JsonMapper mapper) {
        mMapper = mapper;
    }

    /** Returns a reader with keys in snake case. */
    public static JsonReader create() {
        return new JsonReader(
                JsonMapper.builder()
                        .addModule(new Jdk8Module())
                        .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                        .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                        .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                        .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                        .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                        .build());
    }

    /**
     * Reads a value.
     *
     * @param json the text, as UTF-8
     * @param type what to read
     * @param code the code to report faults under
     * @throws IbisstandException if the text does not fit the type; the message names the path
     */
    public <T> T read(byte[] json, Class<T> type, ErrorCode code) {
        try {
            return mMapper.readValue(json, type);
        } catch (UnrecognizedPropertyException e) {
            String known = "known keys are " + e.getKnownPropertyIds();
            throw new IbisstandException(code, pathOf(e) + ": unknown key; " + known, e);
        } catch (JsonMappingException e) {
            throw new IbisstandException(code, pathOf(e) + ": " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new IbisstandException(code, "not JSON: " + e.getMessage(), e);
        }
    }

    /**
     * Writes a value with line breaks, for people to read.
     *
     * @param value what to write
     */
    public byte[] write(Object value) {
        try {
            return mMapper.writerWithDefaultPrettyPrinter().writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IbisstandException(ErrorCode.INTERNAL, "cannot write JSON", e);
        }
    }

    private static String pathOf(JsonMappingException e) {
        String path = e.getPath().stream().map(JsonReader::step).collect(Collectors.joining());
        return path.isEmpty() ? "$" : "$" + path;
    }

    private static String step(JsonMappingException.Reference reference) {
        String name = reference.getFieldName();
        return name == null ? "[" + reference.getIndex() + "]" : "." + name;
    }
}
