package org.ibisstand.settings;

import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.InputStream;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Compares the operators' page with the records that the settings are read into. */
class SettingsPageTest {
    private static final Path PAGE = Path.of("..", "docs", "settings.md");

    static Stream<Arguments> sections() {
        return Stream.of(
                Arguments.of("## Entry", EntrySettings.class, "entry-defaults.json"),
                Arguments.of("## Agent", AgentSettings.class, "agent-defaults.json"),
                Arguments.of("## Control", ControlSettings.class, "control-defaults.json"),
                Arguments.of("## Configuration", Configuration.class, ""));
    }

    @ParameterizedTest
    @MethodSource("sections")
    void showsEachKeyWithWhatIsAllowedAndItsDefault(String heading, Class<?> type, String defaults)
            throws Exception {
        String section = section(heading);
        List<String> rows = new ArrayList<>();
        collect(type, "", defaults(defaults), rows);

        for (String row : rows) {
            assertWithMessage("row of %s", heading).that(section).contains("\n" + row);
        }
    }

    @ParameterizedTest
    @MethodSource("sections")
    void showsNoKeyThatIsGone(String heading, Class<?> type, String defaults) throws Exception {
        List<String> rows = new ArrayList<>();
        collect(type, "", defaults(defaults), rows);

        for (String line : section(heading).split("\n")) {
            boolean known =
                    !line.startsWith("| `")
                            || line.startsWith("| `backend.kind`")
                            || rows.stream().anyMatch(line::startsWith);
            assertWithMessage("known key in '%s'", line).that(known).isTrue();
        }
    }

    private static void collect(Class<?> type, String prefix, JsonNode values, List<String> rows) {
        if (type.isSealed()) {
            for (Class<?> variant : type.getPermittedSubclasses()) {
                collect(variant, prefix, values, rows);
            }
            return;
        }
        for (RecordComponent component : type.getRecordComponents()) {
            String key = JsonReader.keyOf(component);
            Class<?> element = elementOf(component.getGenericType());
            boolean list = component.getType() == List.class;
            boolean nested = element.isRecord() && element != Address.class;
            if (list || !(nested || element.isSealed())) {
                rows.add(row(prefix + key, component, values.path(key)));
            }
            if (nested || element.isSealed()) {
                collect(element, prefix + key + (list ? "[]." : "."), values.path(key), rows);
            }
        }
    }

    private static String row(String key, RecordComponent component, JsonNode value) {
        String otherwise = component.getType() == Optional.class ? "optional" : "required";
        String shown = value.isMissingNode() ? otherwise : value.toString();
        return "| `" + key + "` | " + allowed(component) + " | " + shown + " | ";
    }

    private static String allowed(RecordComponent component) {
        boolean list = component.getType() == List.class;
        List<String> parts = new ArrayList<>();
        Optional.ofNullable(component.getAnnotation(Range.class))
                .map(range -> RecordChecker.plain(range.from()) + " to " + plainTo(range))
                .ifPresent(text -> parts.add(list ? text + " values" : text));
        Optional.ofNullable(component.getAnnotation(Form.class))
                .map(form -> form.value().description())
                .ifPresent(text -> parts.add(list ? "each " + text : text));
        if (elementOf(component.getGenericType()) == Address.class) {
            parts.add(list ? "each host:port" : "host:port");
        }
        return parts.isEmpty() ? "true or false" : String.join(", ", parts);
    }

    private static String plainTo(Range range) {
        return RecordChecker.plain(range.to());
    }

    private static Class<?> elementOf(Type type) {
        if (type instanceof ParameterizedType parameterized) {
            return (Class<?>) parameterized.getActualTypeArguments()[0];
        }
        return (Class<?>) type;
    }

    private static JsonNode defaults(String name) throws Exception {
        JsonMapper mapper = JsonMapper.builder().build();
        if (name.isEmpty()) {
            return mapper.createObjectNode();
        }
        try (InputStream stream = SettingsReader.class.getResourceAsStream(name)) {
            return mapper.readTree(stream);
        }
    }

    private static String section(String heading) throws Exception {
        String page = Files.readString(PAGE);
        int start = page.indexOf(heading + "\n");
        int end = page.indexOf("\n## ", start);
        return page.substring(start, end);
    }
}
