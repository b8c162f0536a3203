package org.ibisstand.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.cfg.MutableCoercionConfig;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.type.LogicalType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.util.Map;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Reads and writes JSON strictly: an unknown, missing or mistyped value is an error. */
public final class JsonReader {
    private static final PropertyNamingStrategies.SnakeCaseStrategy KEYS =
            new PropertyNamingStrategies.SnakeCaseStrategy();

    private final JsonMapper mMapper;

    private JsonReader(JsonMapper mapper) {
        mMapper = mapper;
    }

    /** Returns a reader with keys in snake case. */
    public static JsonReader create() {
        return new JsonReader(
                JsonMapper.builder()
                        .addModule(new Jdk8Module())
                        .annotationIntrospector(new OptionalAwareIntrospector())
                        .propertyNamingStrategy(KEYS)
                        .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                        .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                        .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                        .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
                        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                        .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                        .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                        .withCoercionConfig(LogicalType.Textual, JsonReader::refuseNumbers)
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
        } catch (IOException e) {
            throw fault(code, e);
        }
    }

    /**
     * Reads a value whose missing keys are taken from defaults; nested objects are merged key by
     * key, lists are taken whole.
     *
     * @param json the text, as UTF-8
     * @param defaults the object that supplies missing keys, as UTF-8
     * @param type what to read
     * @param code the code to report faults under
     * @throws IbisstandException if the text does not fit the type; the message names the path
     */
    public <T> T read(byte[] json, byte[] defaults, Class<T> type, ErrorCode code) {
        try {
            JsonNode merged = mMapper.readTree(defaults);
            JsonNode given = mMapper.readTree(json);
            if (!(given instanceof ObjectNode) || !(merged instanceof ObjectNode target)) {
                throw new IbisstandException(code, "$: wrong type; needed is an object");
            }
            merge(target, given);
            return mMapper.treeToValue(target, type);
        } catch (IOException e) {
            throw fault(code, e);
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

    /**
     * Writes a value without line breaks, for other processes.
     *
     * @param value what to write
     */
    public byte[] writeCompact(Object value) {
        try {
            return mMapper.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IbisstandException(ErrorCode.INTERNAL, "cannot write JSON", e);
        }
    }

    static String keyOf(RecordComponent component) {
        return KEYS.translate(component.getName());
    }

    static Object valueOf(RecordComponent component, Record value) {
        try {
            return component.getAccessor().invoke(value);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot read " + component, e);
        }
    }

    private static void refuseNumbers(MutableCoercionConfig texts) {
        texts.setCoercion(CoercionInputShape.Integer, CoercionAction.Fail);
        texts.setCoercion(CoercionInputShape.Float, CoercionAction.Fail);
        texts.setCoercion(CoercionInputShape.Boolean, CoercionAction.Fail);
    }

    private static void merge(ObjectNode target, JsonNode given) {
        for (Map.Entry<String, JsonNode> field : given.properties()) {
            JsonNode present = target.get(field.getKey());
            boolean bothObjects = present instanceof ObjectNode && field.getValue().isObject();
            if (bothObjects) {
                merge((ObjectNode) present, field.getValue());
            } else {
                target.set(field.getKey(), field.getValue());
            }
        }
    }

    private static IbisstandException fault(ErrorCode code, IOException e) {
        if (e instanceof JsonMappingException mapping) {
            return new IbisstandException(code, JsonFault.describe(mapping), e);
        }
        if (e instanceof JsonProcessingException processing) {
            return new IbisstandException(code, JsonFault.describeSyntax(processing), e);
        }
        return new IbisstandException(code, "not JSON: " + e.getMessage(), e);
    }
}
