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
import java.util.Set;
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

/** Real members of control in this process, with logs on disk, each at its own loopback address. */
final class ControlGroup implements AutoCloseable {
    static final int FIRST_MEMBER_COUNT = 3;
    static final byte[] ROUTING_SOURCE = bytes("{\"operator\":1}");
    private static final Duration TIMEOUT = Duration.ofSeconds(40);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final int WIRE_PORT = 27_340;
    private static final Set<Integer> FIRST_MEMBERS = Set.of(0, 1, 2);
    private static final byte[] ROUTING_JSON = bytes("{\"product\":1}");

    /** Drawn from so many that groups of test runs side by side do not meet. */
    private final String mAddressPrefix = drawNetwork(new Random());

    private final HttpClient mHttp = HttpClient.newHttpClient();
    private final Map<Integer, ControlDaemon> mDaemons = new HashMap<>();
    private final Path mFolder;
    private Optional<Set<Integer>> mSeeds = Optional.empty();

    ControlGroup(Path folder) {
        mFolder = folder;
    }

    private static String drawNetwork(Random random) {
        return "127." + (2 + random.nextInt(250)) + "." + random.nextInt(250) + ".";
    }

    @Override
    public void close() {
        mDaemons.values().forEach(ControlDaemon::close);
        mHttp.close();
    }

    ControlDaemon daemon(int member) {
        return mDaemons.get(member);
    }

    /** Sets the seeds of processes that are started from now on, and of those that run. */
    void setSeeds(Set<Integer> seeds) {
        mSeeds = Optional.of(seeds);
        List<String> addresses = seeds.stream().map(this::address).toList();
        mDaemons.values().forEach(daemon -> daemon.fleet().follow(addresses));
    }

    void startAll() {
        for (int member = 0; member < FIRST_MEMBER_COUNT; member++) {
            start(member, false);
        }
    }

    void start(int member, boolean joinsGroup) {
        start(member, joinsGroup, false);
    }

    /** Starts a member that joins while the group starts for the first time. */
    void startFirst(int member) {
        start(member, true, true);
    }

    void start(int member, boolean joinsGroup, boolean isFirstStart) {
        mDaemons.put(
                member,
                ControlDaemon.start(
                        settings(member, joinsGroup, isFirstStart), ReplicatedLog::open));
    }

    /** Stops a member as a supervisor does, which lets it give its vote back. */
    void terminate(int member) {
        join(mDaemons.get(member).stop());
        stop(member);
    }

    /** Returns whether a member leads. */
    boolean leads(int member) {
        return mDaemons.get(member).fleet().leaderAddress().equals(Optional.of(address(member)));
    }

    void stop(int member) {
        mDaemons.remove(member).close();
    }

    void deleteFolder(int member) throws IOException {
        try (Stream<Path> files = Files.walk(folder(member))) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Puts a routing version through whichever member is the leader, until one accepts it. */
    void putRouting(long version) {
        awaitTrue(
                () ->
                        mDaemons.values().stream()
                                .anyMatch(
                                        daemon ->
                                                errorCodeOf(
                                                                daemon.fleet()
                                                                        .putRouting(
                                                                                version,
                                                                                ROUTING_JSON,
                                                                                ROUTING_SOURCE))
                                                        .isEmpty()));
    }

    String readRouting() {
        List<String> documents = new ArrayList<>();
        awaitTrue(
                () -> {
                    mDaemons.values()
                            .forEach(
                                    daemon -> {
                                        CompletableFuture<Optional<byte[]>> document =
                                                daemon.fleet().readRouting();
                                        if (errorCodeOf(document).isEmpty()) {
                                            documents.add(text(join(document).orElseThrow()));
                                        }
                                    });
                    return !documents.isEmpty();
                });
        return documents.getFirst();
    }

    /**
     * Returns whether a member that lost its disk has a vote. It asks the member itself, as the
     * others count the vote of the lost disk until then.
     */
    boolean isVoterAgain(int member) {
        return !membersAt(mDaemons.get(member)).contains("\"role\":\"LEARNER\"");
    }

    /** Returns whether all running members count the member as a voter. */
    boolean isVoter(int member) {
        return mDaemons.values().stream()
                .allMatch(daemon -> countVotersAt(daemon, address(member)) == 1);
    }

    /** Returns whether no running member counts the member as a voter. */
    boolean isNoVoter(int member) {
        return mDaemons.values().stream()
                .allMatch(daemon -> countVotersAt(daemon, address(member)) == 0);
    }

    /**
     * Counts the voters at an address in the member list of the administration API. A lost member
     * with that address is counted until it is removed.
     */
    long countVotersAt(ControlDaemon daemon, String address) {
        return Pattern.compile("\\{[^{}]*\\Q" + address + "\\E[^{}]*\"voter\":true[^{}]*}")
                .matcher(membersAt(daemon))
                .results()
                .count();
    }

    /** Returns the members as the administration API of one of them lists them. */
    private String membersAt(ControlDaemon daemon) {
        URI uri =
                URI.create(
                        "http://"
                                + hostOf(daemon)
                                + ":"
                                + daemon.administrationPort()
                                + "/members");
        HttpRequest request =
                HttpRequest.newBuilder(uri).header("Authorization", "Bearer token").build();
        return join(mHttp.sendAsync(request, HttpResponse.BodyHandlers.ofString()))
                .body()
                .replace(" ", "");
    }

    private String hostOf(ControlDaemon daemon) {
        return mDaemons.entrySet().stream()
                .filter(entry -> entry.getValue() == daemon)
                .map(entry -> mAddressPrefix + (entry.getKey() + 1))
                .findFirst()
                .orElseThrow();
    }

    private ControlSettings settings(int member, boolean joinsGroup, boolean isFirstStart) {
        List<ControlSettings.Member> members = new ArrayList<>();
        for (int other : mSeeds.orElse(joinsGroup ? mDaemons.keySet() : FIRST_MEMBERS)) {
            members.add(
                    new ControlSettings.Member("member-" + other, Address.parse(address(other))));
        }
        return new ControlSettings(
                "member-" + member,
                "zone",
                new WireListen(mAddressPrefix + (member + 1), WIRE_PORT, Optional.empty()),
                new Administration(mAddressPrefix + (member + 1), 0, Digests.hexadecimal("token")),
                folder(member).toString(),
                members,
                joinsGroup,
                isFirstStart,
                new ControlSettings.Limits(1_000, 1 << 20, 1, 2),
                new ControlSettings.Timing(600, 100, 3_600_000, 30_000, 1_000, 1_500));
    }

    String address(int member) {
        return mAddressPrefix + (member + 1) + ":" + WIRE_PORT;
    }

    private Path folder(int member) {
        return mFolder.resolve("member-" + member);
    }

    /** Returns how many voters a member counts. */
    long votersAt(int member) {
        return countVotersAt(mDaemons.get(member), "");
    }

    static void awaitTrue(BooleanSupplier condition) {
        Clock clock = MonotonicClock.start();
        Instant deadline = clock.instant().plus(TIMEOUT);
        while (!condition.getAsBoolean()) {
            assertThat(clock.instant()).isLessThan(deadline);
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }

    static <T> T join(CompletableFuture<T> future) {
        return future.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
    }

    static Optional<ErrorCode> errorCodeOf(CompletableFuture<?> future) {
        try {
            future.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
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
