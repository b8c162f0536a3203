package org.ibisstand.operator;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.ibisstand.base.Digests;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.settings.Configuration;
import org.ibisstand.settings.ConfigurationReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ConfigurationBuilderTest {
    private final ConfigurationReader mReader = ConfigurationReader.create();

    static Stream<Arguments> examples() {
        Supplier<ConfigurationBuilder> kernelta = KerneltaExample::configuration;
        Supplier<ConfigurationBuilder> kekhullam = KekhullamExample::configuration;
        return Stream.of(
                Arguments.of("kernelta.json", kernelta, "orders", "/confirmations"),
                Arguments.of("kekhullam.json", kekhullam, "desk", "/payments"));
    }

    @ParameterizedTest
    @MethodSource("examples")
    void printsTheDocumentedExamplesAndTheyAreAccepted(
            String file, Supplier<ConfigurationBuilder> example, String service, String once)
            throws Exception {
        byte[] printed = example.get().print();
        Path page = Path.of("..", "docs", "examples", file);

        Configuration read = mReader.read(Files.readAllBytes(page));

        assertThat(read).isEqualTo(mReader.read(printed));
        assertThat(read.teams()).hasSize(8);
        assertThat(read.service(service).get().isIdempotent("POST", once)).isFalse();
        assertThat(read.service(service).get().isIdempotent("GET", once)).isFalse();
    }

    @ParameterizedTest
    @MethodSource("examples")
    void replacesWhatHasTheSameName(
            String file, Supplier<ConfigurationBuilder> example, String service, String once) {
        Configuration start = example.get().build();
        String team = start.teams().getFirst().name();

        Configuration changed =
                ConfigurationBuilder.from(start)
                        .team(team, one -> one.token("new").weight(9))
                        .build();

        assertThat(changed.teams()).hasSize(start.teams().size());
        assertThat(changed.teamOfToken(Digests.hexadecimal("new")).get().weight()).isEqualTo(9);
    }

    static Stream<Arguments> faults() {
        Consumer<ConfigurationBuilder> unknownModel =
                builder -> builder.team("t", one -> one.token("x").model("nothing"));
        Consumer<ConfigurationBuilder> unknownClass =
                builder -> builder.model("m", one -> one.priorityClass("nothing"));
        Consumer<ConfigurationBuilder> relativePath =
                builder -> builder.service("s", one -> one.idempotent("GET", "stock"));
        return Stream.of(
                Arguments.of(unknownModel, "$.teams[0].models[0]: 'nothing' is unknown"),
                Arguments.of(unknownClass, "$.models[0].priority_class: 'nothing' is unknown"),
                Arguments.of(relativePath, "$.services[0].calls[0].path_prefix"));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void refusesToPrintWhatControlWouldRefuse(
            Consumer<ConfigurationBuilder> fault, String message) {
        ConfigurationBuilder builder = ConfigurationBuilder.create();
        fault.accept(builder);

        IbisstandException e = assertThrows(IbisstandException.class, builder::print);

        assertThat(e.code()).isEqualTo(ErrorCode.CONFIGURATION_INVALID);
        assertThat(e).hasMessageThat().contains(message);
    }

    @Test
    void printsDigestsInPlaceOfTokens() {
        String json = new String(KerneltaExample.configuration().print());

        assertThat(json).doesNotContain("example-token");
    }
}
