package org.ibisstand.command;

import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compares the operators' pages with what running processes show. */
class OperatorsPagesTest {
    private static final Path DOCUMENTS = Path.of("..", "docs");
    private static final Pattern CODE = Pattern.compile("`([^`]+)`");

    @TempDir private static Path sFolder;
    private static LocalSystem sSystem;

    @BeforeAll
    static void start() throws Exception {
        sSystem = LocalSystem.start(sFolder);
    }

    @AfterAll
    static void stop() throws Exception {
        sSystem.close();
    }

    @ParameterizedTest
    @CsvSource({"Entry", "Agent", "Control"})
    void explainEachKeyOfTheStateDump(String heading) throws Exception {
        Set<String> explained = names("state-dump.md", heading);
        JsonNode state = sSystem.administration(heading, "/state");

        Set<String> shown = new TreeSet<>();
        collectKeys(state, shown);

        shown.removeAll(explained);
        assertWithMessage("keys that the page leaves out").that(shown).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"Entry", "Agent", "Control"})
    void explainEachMetricAndNoOther(String heading) throws Exception {
        JsonNode page = sSystem.administration(heading, "/metrics");

        Set<String> shown = new TreeSet<>();
        for (String kind : new String[] {"counters", "gauges", "timers", "meters", "histograms"}) {
            page.path(kind).fieldNames().forEachRemaining(shown::add);
        }

        Set<String> explained = names("metrics.md", heading);
        explained.remove("not-run");
        explained.remove("may-have-run");
        assertWithMessage("metrics on the page").that(explained).isEqualTo(shown);
    }

    /** Names of values that operators choose themselves are data, not keys. */
    private static void collectKeys(JsonNode node, Set<String> keys) {
        if (node.isArray()) {
            node.forEach(element -> collectKeys(element, keys));
        }
        node.properties()
                .forEach(
                        field -> {
                            keys.add(field.getKey());
                            if (!field.getKey().equals("models")) {
                                collectKeys(field.getValue(), keys);
                            }
                        });
    }

    private static Set<String> names(String file, String heading) throws Exception {
        String page = Files.readString(DOCUMENTS.resolve(file));
        int start = page.indexOf("## " + heading + "\n");
        int end = page.indexOf("\n## ", start);
        String section = page.substring(start, end < 0 ? page.length() : end);
        Set<String> names = new TreeSet<>();
        section.lines()
                .filter(line -> line.startsWith("| `"))
                .flatMap(line -> CODE.matcher(line).results())
                .map(match -> match.group(1))
                .forEach(names::add);
        return names;
    }
}
