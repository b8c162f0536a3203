package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests that the metrics page for operators lists each metric of each process, and no others. */
class MetricsPageTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern METRIC_CALL =
            Pattern.compile("(?:counter|timer|histogram|gauge)\\(\\s*\"([a-z_.]+[a-z_])\"");
    private static final Pattern COUNTED_CALL = Pattern.compile("incrementCounter\\(\"([a-z_]+)\"");
    private static final Pattern TABLE_ROW = Pattern.compile("(?m)^\\| `([a-z_.A-Z]+)` \\|");

    @Test
    void thePageListsExactlyTheDeclaredMetrics() throws IOException {
        Set<String> declared = new TreeSet<>(Set.of("gateway.answers.STATUS"));
        for (String module : List.of("entry", "gateway", "agent", "control")) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(module).resolve("src/main"))) {
                for (Path file : files.filter(Files::isRegularFile).toList()) {
                    String source = Files.readString(file);
                    collect(METRIC_CALL, source, "", declared);
                    collect(COUNTED_CALL, source, "gateway.", declared);
                }
            }
        }
        Set<String> documented = new TreeSet<>();
        collect(TABLE_ROW, Files.readString(ROOT.resolve("docs/metrics.md")), "", documented);
        documented.removeIf(name -> name.startsWith("/"));

        assertThat(documented).containsExactlyElementsIn(declared);
    }

    private static void collect(Pattern pattern, String text, String prefix, Set<String> names) {
        Matcher matcher = pattern.matcher(text);
        while (matcher.find()) {
            names.add(prefix + matcher.group(1));
        }
    }
}
