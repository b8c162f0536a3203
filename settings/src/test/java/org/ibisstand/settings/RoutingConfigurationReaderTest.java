package org.ibisstand.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.settings.Route.Repetition;
import org.ibisstand.settings.Route.WeightedService;
import org.ibisstand.settings.RoutingConfiguration.CallerLimits;
import org.ibisstand.settings.RoutingConfiguration.TeamKeys;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RoutingConfigurationReaderTest {
    private final RoutingConfigurationReader mReader = RoutingConfigurationReader.create();

    @ParameterizedTest
    @EnumSource(Repetition.class)
    void readsWhatItWrote(Repetition repetition) {
        RoutingConfiguration configuration = configuration(List.of(route("/a/", repetition, 1)));

        RoutingConfiguration read = mReader.read(mReader.write(configuration));

        assertThat(read).isEqualTo(configuration);
    }

    /** The ways in which a configuration contradicts itself. */
    enum Contradiction {
        SAME_PLACE,
        UNKNOWN_SERVICE,
        NO_WEIGHT,
        NO_TIMEOUT,
        SHARED_KEY,
        NO_SLASH
    }

    @ParameterizedTest
    @EnumSource(Contradiction.class)
    void refusesContradictions(Contradiction contradiction) {
        RoutingConfiguration configuration = contradictory(contradiction);

        IbisstandException thrown =
                assertThrows(IbisstandException.class, () -> mReader.check(configuration));

        assertThat(thrown.code()).isEqualTo(ErrorCode.CONFIGURATION_INVALID);
    }

    @Test
    void acceptsTheSamePrefixUnderAnotherHost() {
        Route route = route("/a/", Repetition.ONCE, 1);
        Route other =
                new Route(
                        "other",
                        "other.example",
                        "/a/",
                        Repetition.ONCE,
                        100,
                        10,
                        0,
                        route.services(),
                        1,
                        true,
                        false,
                        0);

        mReader.check(configuration(List.of(route, other)));
    }

    private static RoutingConfiguration contradictory(Contradiction contradiction) {
        Route sound = route("/a/", Repetition.ONCE, 1);
        return switch (contradiction) {
            case SAME_PLACE -> configuration(List.of(sound, sound));
            case UNKNOWN_SERVICE ->
                    configuration(List.of(route("/a/", List.of(new WeightedService("x", 1)), 100)));
            case NO_WEIGHT -> configuration(List.of(route("/a/", Repetition.ONCE, 0)));
            case NO_TIMEOUT ->
                    configuration(List.of(route("/a/", List.of(new WeightedService("s", 1)), 0)));
            case NO_SLASH -> configuration(List.of(route("/a", Repetition.ONCE, 1)));
            case SHARED_KEY ->
                    new RoutingConfiguration(
                            1,
                            List.of(sound),
                            configuration(List.of()).services(),
                            configuration(List.of()).callerLimits(),
                            Optional.of(List.of(team("one"), team("other"))));
        };
    }

    private static TeamKeys team(String name) {
        return new TeamKeys(name, List.of("key"), Optional.empty(), false);
    }

    private static Route route(String prefix, Repetition repetition, int weight) {
        return new Route(
                "route",
                "host.example",
                prefix,
                repetition,
                1000,
                100,
                1,
                List.of(new WeightedService("s", weight)),
                2,
                false,
                true,
                400);
    }

    private static Route route(String prefix, List<WeightedService> services, long timeout) {
        return new Route(
                "route",
                "host.example",
                prefix,
                Repetition.IDEMPOTENT,
                timeout,
                100,
                1,
                services,
                2,
                false,
                true,
                0);
    }

    private static RoutingConfiguration configuration(List<Route> routes) {
        RoutedService.Engine engine =
                new RoutedService.Engine(8, 1000, 96256, 1100000.0, true, List.of("model"));
        return new RoutingConfiguration(
                7,
                routes,
                List.of(
                        new RoutedService(
                                "s", "/health", 100, Optional.of(engine), Optional.empty())),
                new CallerLimits(16384, 4194304, 3000, 15000),
                Optional.of(
                        List.of(
                                new TeamKeys(
                                        "team", List.of("one", "two"), Optional.of(1), true))));
    }
}
