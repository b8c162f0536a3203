package org.ibisstand.operator;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ibisstand.administration.AdministrationHandler;
import org.ibisstand.administration.AdministrationResponse;
import org.ibisstand.administration.AdministrationRoutes;
import org.ibisstand.administration.AdministrationServer;
import org.ibisstand.base.Digests;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.settings.Address;
import org.ibisstand.settings.Administration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class AdministrationClientTest {
    private static final String TOKEN = "operators";
    private static final String HOST = "127.0.0.1";

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<AdministrationServer> mServers = new ArrayList<>();
    private final List<String> mChanges = Collections.synchronizedList(new ArrayList<>());

    @AfterEach
    void stop() {
        mServers.forEach(AdministrationServer::close);
        mGroup.shutdownGracefully();
    }

    @ParameterizedTest
    @EnumSource(names = {"NOT_LEADER", "NO_QUORUM"})
    void resendsAChangeUnderOneIdentifierUntilAMemberDecides(ErrorCode code) {
        Address follower = serve(refusing(code));
        Address leader = serve(accepting());

        try (AdministrationClient client =
                AdministrationClient.create(List.of(follower, leader), TOKEN)) {
            long revision =
                    client.applyConfiguration(new byte[] {'{', '}'}, 6, "change-1")
                            .path("revision")
                            .asLong();

            assertThat(revision).isEqualTo(7);
            assertThat(mChanges).isEqualTo(List.of("change-1 on 6", "change-1 on 6"));
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"CONFIGURATION_CONFLICT", "CONFIGURATION_INVALID"})
    void reportsADecisionWithoutAnotherTry(ErrorCode code) {
        Address first = serve(refusing(code));
        Address second = serve(accepting());

        try (AdministrationClient client =
                AdministrationClient.create(List.of(first, second), TOKEN)) {
            IbisstandException e =
                    assertThrows(
                            IbisstandException.class,
                            () -> client.applyConfiguration(new byte[0], 6, "change-1"));

            assertThat(e.code()).isEqualTo(code);
            assertThat(mChanges).hasSize(1);
        }
    }

    @Test
    void reportsAWrongToken() {
        Address address = serve(accepting());

        try (AdministrationClient client = AdministrationClient.create(List.of(address), "wrong")) {
            IbisstandException e = assertThrows(IbisstandException.class, client::state);

            assertThat(e.code()).isEqualTo(ErrorCode.TOKEN_INVALID);
        }
    }

    private AdministrationHandler refusing(ErrorCode code) {
        return request -> {
            throw new IbisstandException(code, "refused");
        };
    }

    private AdministrationHandler accepting() {
        return request ->
                CompletableFuture.completedFuture(AdministrationResponse.ok("{\"revision\":7}"));
    }

    private Address serve(AdministrationHandler handler) {
        AdministrationRoutes routes =
                AdministrationRoutes.create(
                                Optional::empty,
                                () -> CompletableFuture.completedFuture(Map.of()),
                                new MetricRegistry())
                        .route(
                                "POST",
                                "/configuration",
                                request -> {
                                    mChanges.add(
                                            request.requireParameter("change")
                                                    + " on "
                                                    + request.requireParameter(
                                                            "expected_revision"));
                                    return handler.handle(request);
                                });
        Administration settings = new Administration(HOST, 0, Digests.hexadecimal(TOKEN));
        AdministrationServer server = AdministrationServer.start(settings, mGroup, routes);
        mServers.add(server);
        return new Address(HOST, server.port());
    }
}
