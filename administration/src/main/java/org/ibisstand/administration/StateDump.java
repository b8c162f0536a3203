package org.ibisstand.administration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.util.List;
import java.util.Locale;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Renders the state of a process as JSON of bounded size, with secrets hidden. */
public final class StateDump {
    private static final int MAXIMUM_BYTES = 1024 * 1024;
    private static final int MAXIMUM_ELEMENTS = 1000;
    private static final String OMITTED = "omitted";
    private static final String HIDDEN = "(hidden)";
    private static final List<String> SECRET_WORDS =
            List.of("token", "secret", "password", "authorization");

    private final JsonMapper mMapper;

    private StateDump(JsonMapper mapper) {
        mMapper = mapper;
    }

    /** Returns a dump with keys in snake case. */
    public static StateDump create() {
        return new StateDump(
                JsonMapper.builder()
                        .addModule(new Jdk8Module())
                        .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                        .build());
    }

    /**
     * Renders a state; lists are shortened evenly until the dump is at most one mebibyte.
     *
     * @param state a value that Jackson can write
     */
    public AdministrationResponse render(Object state) {
        JsonNode tree = mMapper.valueToTree(state);
        for (int elements = MAXIMUM_ELEMENTS; elements > 0; elements /= 2) {
            byte[] text = write(shorten(tree, elements));
            if (text.length <= MAXIMUM_BYTES) {
                return AdministrationResponse.ok(text);
            }
        }
        throw new IbisstandException(ErrorCode.INTERNAL, "the state is too large to show");
    }

    private JsonNode shorten(JsonNode node, int elements) {
        return switch (node) {
            case ObjectNode object -> shortenObject(object, elements);
            case ArrayNode array -> shortenArray(array, elements);
            default -> node;
        };
    }

    private ObjectNode shortenObject(ObjectNode object, int elements) {
        ObjectNode result = mMapper.createObjectNode();
        object.properties().stream()
                .limit(elements)
                .forEach(
                        field -> {
                            JsonNode value = field.getValue();
                            boolean hidden = isSecret(field.getKey()) && !value.isNumber();
                            result.set(
                                    field.getKey(),
                                    hidden ? result.textNode(HIDDEN) : shorten(value, elements));
                        });
        if (object.size() > elements) {
            result.put(OMITTED, object.size() - elements);
        }
        return result;
    }

    private ArrayNode shortenArray(ArrayNode array, int elements) {
        ArrayNode result = mMapper.createArrayNode();
        for (int index = 0; index < Math.min(elements, array.size()); index++) {
            result.add(shorten(array.get(index), elements));
        }
        if (array.size() > elements) {
            result.addObject().put(OMITTED, array.size() - elements);
        }
        return result;
    }

    private byte[] write(JsonNode tree) {
        try {
            return mMapper.writerWithDefaultPrettyPrinter().writeValueAsBytes(tree);
        } catch (JsonProcessingException e) {
            throw new IbisstandException(ErrorCode.INTERNAL, "cannot write the state", e);
        }
    }

    private static boolean isSecret(String key) {
        String lower = key.toLowerCase(Locale.ROOT);
        return SECRET_WORDS.stream().anyMatch(lower::contains) && !lower.contains("tokens");
    }
}
