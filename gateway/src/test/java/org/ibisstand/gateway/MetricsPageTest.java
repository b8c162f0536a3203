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

/** The operators' page names each metric of each process, and no other. */
class MetricsPageTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern NAMED =
            Pattern.compile("(?:counter|timer|histogram|gauge)\\(\\s*\"([a-z_.]+[a-z_])\"");
    private static final Pattern COUNTED = Pattern.compile("counted\\(\"([a-z_]+)\"");
    private static final Pattern ROW = Pattern.compile("(?m)^\\| `([a-z_.A-Z]+)` \\|");

    @Test
    void thePageNamesAllMetricsAndNoOthers() throws IOException {
        Set<String> known = new TreeSet<>(Set.of("gateway.answers.STATUS"));
        for (String module : List.of("entry", "gateway", "agent", "control")) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(module).resolve("src/main"))) {
                for (Path file : files.filter(Files::isRegularFile).toList()) {
                    String source = Files.readString(file);
                    collect(NAMED, source, "", known);
                    collect(COUNTED, source, "gateway.", known);
                }
            }
        }
        Set<String> described = new TreeSet<>();
        collect(ROW, Files.readString(ROOT.resolve("docs/metrics.md")), "", described);
        described.removeIf(name -> name.startsWith("/"));

        assertThat(described).containsExactlyElementsIn(known);
    }

    private static void collect(Pattern pattern, String text, String prefix, Set<String> names) {
        Matcher matcher = pattern.matcher(text);
        while (matcher.find()) {
            names.add(prefix + matcher.group(1));
        }
    }
}
