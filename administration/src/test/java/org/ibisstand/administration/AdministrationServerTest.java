package org.ibisstand.administration;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ibisstand.base.Digests;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.settings.Administration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class AdministrationServerTest {
    private static final String TOKEN = "operators-secret";
    private static final String HOST = "127.0.0.1";

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private EventLoopGroup mGroup;
    private AdministrationServer mServer;
    private volatile Optional<String> mReason = Optional.empty();
    private volatile Object mState = Map.of("queued", 3);

    @BeforeEach
    void start() {
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        AdministrationRoutes routes =
                AdministrationRoutes.create(
                                () -> mReason,
                                () -> CompletableFuture.completedFuture(mState),
                                new MetricRegistry())
                        .route("PUT", "/echo", request -> echo(request))
                        .route("GET", "/broken", request -> broken());
        mServer = AdministrationServer.start(settings(0), mGroup, routes);
    }

    @AfterEach
    void stop() {
        mServer.close();
        mGroup.shutdownGracefully();
    }

    @ParameterizedTest
    @CsvSource({
        "GET,/health,'',200,healthy",
        "GET,/ready,'',200,ready",
        "GET,/state,operators-secret,200,queued",
        "GET,/metrics,operators-secret,200,gauges",
        "GET,/state,'',401,TOKEN_INVALID",
        "GET,/state,wrong,401,TOKEN_INVALID",
        "GET,/unknown,'',401,TOKEN_INVALID",
        "GET,/unknown,operators-secret,404,NOT_FOUND",
        "GET,/echo,operators-secret,405,METHOD_NOT_ALLOWED",
        "PUT,/echo?key=v,operators-secret,200,v body",
        "PUT,/echo,operators-secret,400,REQUEST_MALFORMED",
        "GET,/broken,operators-secret,500,INTERNAL",
    })
    void answersEachRouteToThoseWhoMay(
            String method, String path, String token, int status, String part) throws Exception {
        HttpResponse<String> response = send(method, path, token, "body");

        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.body()).contains(part);
        assertThat(response.body()).doesNotContain("private detail");
    }

    @Test
    void tellsWhyItIsNotReady() throws Exception {
        mReason = Optional.of("stopping");

        HttpResponse<String> response = send("GET", "/ready", "", "");

        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.body()).contains("stopping");
    }

    @Test
    void boundsTheStateDumpAndHidesSecrets() throws Exception {
        List<String> many = Collections.nCopies(1_000_000, "x".repeat(50));
        mState = Map.of("many", many, "operator_token", "hide me", "queued_tokens", 7);

        String body = send("GET", "/state", TOKEN, "").body();

        assertThat(body.length()).isAtMost(1024 * 1024);
        assertThat(body).contains("omitted");
        assertThat(body).contains("\"queued_tokens\" : 7");
        assertThat(body).doesNotContain("hide me");
    }

    @Test
    void refusesABodyThatIsTooLarge() throws Exception {
        HttpResponse<String> response =
                send("PUT", "/echo?key=v", TOKEN, "x".repeat(17 * 1024 * 1024));

        assertThat(response.statusCode()).isEqualTo(413);
        assertThat(response.body()).contains("BODY_TOO_LARGE");
    }

    @Test
    void refusesWithACodeASenderThatAsksBeforeItSendsTooLargeABody() throws Exception {
        try (Socket socket = new Socket(HOST, mServer.port())) {
            String head =
                    "PUT /echo HTTP/1.1\r\nExpect: 100-continue\r\n"
                            + "Content-Length: 99999999\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(answer).startsWith("HTTP/1.1 413");
            assertThat(answer).contains("BODY_TOO_LARGE");
        }
    }

    @Test
    void readsTheRestOfABodyThatIsTooLargeBeforeItCloses() throws Exception {
        byte[] part = new byte[1024 * 1024];
        try (Socket socket = new Socket(HOST, mServer.port())) {
            String head = "PUT /echo HTTP/1.1\r\nContent-Length: " + 20 * part.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            byte[] answer = socket.getInputStream().readNBytes(12);
            for (int sent = 0; sent < 20; sent++) {
                socket.getOutputStream().write(part);
            }
            assertThat(new String(answer, StandardCharsets.US_ASCII)).startsWith("HTTP/1.1 413");
            assertThat(socket.getInputStream().readAllBytes()).isNotEmpty();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"nonsense\r\n\r\n", "GET /health HTTP/1.1\r\nA: %s\r\n\r\n"})
    void answersDamagedRequestsAndServesOn(String request) throws Exception {
        String text = request.formatted("x".repeat(20_000));
        try (Socket socket = new Socket(HOST, mServer.port())) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            byte[] answer = socket.getInputStream().readNBytes(12);
            assertThat(new String(answer, StandardCharsets.US_ASCII)).startsWith("HTTP/1.1 4");
        }
        assertThat(send("GET", "/health", "", "").statusCode()).isEqualTo(200);
    }

    @Test
    void reportsAPortInUse() {
        Administration taken = settings(mServer.port());
        AdministrationRoutes routes =
                AdministrationRoutes.create(
                        Optional::empty,
                        () -> CompletableFuture.completedFuture(""),
                        new MetricRegistry());

        IbisstandException e =
                assertThrows(
                        IbisstandException.class,
                        () -> AdministrationServer.start(taken, mGroup, routes));

        assertThat(e.code()).isEqualTo(ErrorCode.PORT_IN_USE);
    }

    private static CompletableFuture<AdministrationResponse> echo(AdministrationRequest request) {
        String key = request.requireParameter("key");
        String body = new String(request.body(), StandardCharsets.UTF_8);
        return CompletableFuture.completedFuture(AdministrationResponse.ok(key + " " + body));
    }

    private static CompletableFuture<AdministrationResponse> broken() {
        return CompletableFuture.failedFuture(new IllegalStateException("private detail"));
    }

    private static Administration settings(int port) {
        return new Administration(HOST, port, Digests.hexadecimal(TOKEN));
    }

    private HttpResponse<String> send(String method, String path, String token, String body)
            throws Exception {
        URI target = URI.create("http://" + HOST + ":" + mServer.port() + path);
        HttpRequest.Builder request =
                HttpRequest.newBuilder(target)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!token.isEmpty()) {
            request.header("Authorization", "Bearer " + token);
        }
        return mClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }
}
