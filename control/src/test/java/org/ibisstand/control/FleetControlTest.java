package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.ibisstand.base.Digests;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.settings.Address;
import org.ibisstand.settings.Administration;
import org.ibisstand.settings.ControlSettings;
import org.ibisstand.settings.WireListen;
import org.ibisstand.wire.message.ServerRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Real members with logs on disk, each at a loopback address of its own. */
class FleetControlTest {
    private static final Duration LONG = Duration.ofSeconds(40);
    private static final Duration PAUSE = Duration.ofMillis(20);
    private static final int PORT = 27_340;
    private static final int MEMBERS = 3;
    private static final byte[] JSON = bytes("{\"product\":1}");
    private static final byte[] SOURCE = bytes("{\"operator\":1}");

    private final String mNetwork = "127." + (2 + new Random().nextInt(250)) + ".7.";
    private final HttpClient mHttp = HttpClient.newHttpClient();
    private final Map<Integer, ControlDaemon> mDaemons = new HashMap<>();

    @TempDir private Path mFolder;

    @AfterEach
    void close() {
        mDaemons.values().forEach(ControlDaemon::close);
        mHttp.close();
    }

    @Test
    void anyMemberKnowsWhatOneAcknowledged() {
        startAll();

        put(7);

        assertThat(read()).isEqualTo(new String(SOURCE, StandardCharsets.UTF_8));
    }

    @Test
    void aMemberWithoutAMajorityAnswersNoRead() {
        startAll();
        put(7);
        stop(1);
        stop(2);

        await(() -> codeOf(mDaemons.get(0).fleet().readRouting()).isPresent());

        assertThat(codeOf(mDaemons.get(0).fleet().readRouting()).orElseThrow())
                .isAnyOf(ErrorCode.NO_QUORUM, ErrorCode.NOT_LEADER);
    }

    @Test
    void nothingAcknowledgedIsLostWhenAllStopAtOnce() {
        startAll();
        put(7);
        for (int member = 0; member < MEMBERS; member++) {
            stop(member);
        }
        for (int member = 0; member < MEMBERS; member++) {
            start(member, false);
        }

        assertThat(read()).isEqualTo(new String(SOURCE, StandardCharsets.UTF_8));
    }

    @Test
    void aMemberThatLostItsDiskReplacesItself() throws IOException {
        startAll();
        put(7);
        stop(2);
        wipe(2);
        start(2, true);
        await(() -> mDaemons.get(2).fleet().leaderAddress().isPresent());
        await(() -> isMemberAgain(2));
        stop(0);

        put(8);

        assertThat(read()).isEqualTo(new String(SOURCE, StandardCharsets.UTF_8));
    }

    @Test
    void aServerThatOneMemberHeardOfIsKnownToAll() {
        startAll();
        ServerRecord record =
                ServerRecord.newBuilder()
                        .setServer("server")
                        .setService("service")
                        .setAddress("10.0.0.1:1")
                        .setSequence(1)
                        .build();

        join(mDaemons.get(0).fleet().announceServer(record));

        for (int member = 1; member < MEMBERS; member++) {
            FleetControl fleet = mDaemons.get(member).fleet();
            await(
                    () -> {
                        join(mDaemons.get(0).fleet().announceServer(record));
                        return join(fleet.findServer("server")).isPresent();
                    });
        }
    }

    private void startAll() {
        for (int member = 0; member < MEMBERS; member++) {
            start(member, false);
        }
    }

    private void start(int member, boolean joins) {
        mDaemons.put(member, ControlDaemon.start(settings(member, joins), ReplicatedLog::open));
    }

    private void stop(int member) {
        mDaemons.remove(member).close();
    }

    private void wipe(int member) throws IOException {
        try (Stream<Path> files = Files.walk(folder(member))) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Puts a version in force through whichever member leads. */
    private void put(long version) {
        await(
                () ->
                        mDaemons.values().stream()
                                .anyMatch(
                                        daemon ->
                                                codeOf(
                                                                daemon.fleet()
                                                                        .putRouting(
                                                                                version, JSON,
                                                                                SOURCE))
                                                        .isEmpty()));
    }

    private String read() {
        List<String> documents = new ArrayList<>();
        await(
                () -> {
                    mDaemons.values()
                            .forEach(
                                    daemon -> {
                                        CompletableFuture<Optional<byte[]>> document =
                                                daemon.fleet().readRouting();
                                        if (codeOf(document).isEmpty()) {
                                            documents.add(text(join(document).orElseThrow()));
                                        }
                                    });
                    return !documents.isEmpty();
                });
        return documents.getFirst();
    }

    private boolean isMemberAgain(int member) {
        return mDaemons.entrySet().stream()
                .filter(daemon -> daemon.getKey() != member)
                .anyMatch(daemon -> votersAt(daemon.getValue(), address(member)) == 1);
    }

    /** Asks as an operator would; a lost member of the same address counts until it is removed. */
    private long votersAt(ControlDaemon daemon, String address) {
        URI uri =
                URI.create(
                        "http://" + host(daemon) + ":" + daemon.administrationPort() + "/members");
        HttpRequest request =
                HttpRequest.newBuilder(uri).header("Authorization", "Bearer token").build();
        String body = join(mHttp.sendAsync(request, HttpResponse.BodyHandlers.ofString())).body();
        return Pattern.compile("\\{[^{}]*\\Q" + address + "\\E[^{}]*\"voter\":true[^{}]*}")
                .matcher(body.replace(" ", ""))
                .results()
                .count();
    }

    private String host(ControlDaemon daemon) {
        return mDaemons.entrySet().stream()
                .filter(entry -> entry.getValue() == daemon)
                .map(entry -> mNetwork + (entry.getKey() + 1))
                .findFirst()
                .orElseThrow();
    }

    private ControlSettings settings(int member, boolean joins) {
        List<ControlSettings.Member> members = new ArrayList<>();
        for (int other = 0; other < MEMBERS; other++) {
            members.add(
                    new ControlSettings.Member("member-" + other, Address.parse(address(other))));
        }
        return new ControlSettings(
                "member-" + member,
                "zone",
                new WireListen(mNetwork + (member + 1), PORT, Optional.empty()),
                new Administration(mNetwork + (member + 1), 0, Digests.hexadecimal("token")),
                folder(member).toString(),
                members,
                joins,
                new ControlSettings.Limits(1_000, 1 << 20, 1, 2),
                new ControlSettings.Timing(600, 100, 3_600_000, 30_000, 1_000));
    }

    private String address(int member) {
        return mNetwork + (member + 1) + ":" + PORT;
    }

    private Path folder(int member) {
        return mFolder.resolve("member-" + member);
    }

    private static void await(BooleanSupplier condition) {
        Clock clock = MonotonicClock.start();
        Instant end = clock.instant().plus(LONG);
        while (!condition.getAsBoolean()) {
            assertThat(clock.instant()).isLessThan(end);
            LockSupport.parkNanos(PAUSE.toNanos());
        }
    }

    private static <T> T join(CompletableFuture<T> future) {
        return future.orTimeout(LONG.toSeconds(), TimeUnit.SECONDS).join();
    }

    private static Optional<ErrorCode> codeOf(CompletableFuture<?> future) {
        try {
            future.orTimeout(LONG.toSeconds(), TimeUnit.SECONDS).join();
            return Optional.empty();
        } catch (CompletionException e) {
            if (e.getCause() instanceof IbisstandException failure) {
                return Optional.of(failure.code());
            }
            assertThat(e.getCause()).isNotInstanceOf(TimeoutException.class);
            throw e;
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
