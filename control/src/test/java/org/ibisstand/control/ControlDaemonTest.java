package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.Digests;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.settings.ControlSettings;
import org.ibisstand.settings.SettingsReader;
import org.ibisstand.wire.AnswerHandler;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireClient;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireSettings;
import org.ibisstand.wire.message.AgentRecord;
import org.ibisstand.wire.message.Announce;
import org.ibisstand.wire.message.ClaimReply;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.Update;
import org.ibisstand.wire.message.Watch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ControlDaemonTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String OPERATOR_TOKEN = "operator";
    private static final String EMPTY_CONFIGURATION =
            "{\"teams\":[],\"models\":[],\"services\":[],\"priority_classes\":[]}";

    private static final AnswerHandler IGNORING_HANDLER =
            new AnswerHandler() {
                @Override
                public void answered(Frame frame) {}

                @Override
                public void lost(IbisstandException cause) {}
            };

    private final EventLoopGroup mEventLoopGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient mHttp = HttpClient.newHttpClient();
    private final ControlDaemon mDaemon =
            ControlDaemon.start(settings(), ControlDaemonTest::openLog);

    @AfterEach
    void stop() {
        mDaemon.close();
        mHttp.close();
        mEventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** An exception in an earlier part of the tick hid the failure, and the process ran on. */
    @Test
    void aFailedLogIsReportedThoughEachTickFails() {
        BrokenLog log = new BrokenLog(true);
        try (ControlDaemon daemon = ControlDaemon.start(settings(), log)) {
            log.breakNow();

            IbisstandException failure =
                    daemon.failed().orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
            assertThat(failure.code()).isEqualTo(ErrorCode.STORAGE_DAMAGED);
        }
    }

    /** The caller waited without end. */
    @Test
    void aChangeThatFailsUnexpectedlyIsAnswered() {
        BrokenLog log = new BrokenLog(false);
        try (ControlDaemon daemon = ControlDaemon.start(settings(), log)) {
            log.breakNow();

            CompletableFuture<Long> change =
                    daemon.fleet()
                            .nameWeights("model", 2)
                            .orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            CompletionException thrown = assertThrows(CompletionException.class, change::join);
            assertThat(thrown).hasCauseThat().isInstanceOf(IllegalStateException.class);
        }
    }

    private static Log openLog(StateMachine stateMachine, LogContext context) {
        return SingleMemberLog.create(
                stateMachine, new LogMember("control-1", context.address(), true));
    }

    /** A log that can be broken so that its status and its proposals throw. */
    private static final class BrokenLog implements Log, LogOpener {
        private final boolean mFails;
        private volatile boolean mIsBroken;
        private Log mLog;

        BrokenLog(boolean fails) {
            mFails = fails;
        }

        void breakNow() {
            mIsBroken = true;
        }

        @Override
        public Log open(StateMachine stateMachine, LogContext context) {
            mLog = openLog(stateMachine, context);
            return this;
        }

        @Override
        public CompletableFuture<byte[]> propose(byte[] command) {
            throwIfBroken();
            return mLog.propose(command);
        }

        @Override
        public CompletableFuture<Void> confirmRead() {
            return mLog.confirmRead();
        }

        @Override
        public LogStatus status() {
            throwIfBroken();
            return mLog.status();
        }

        @Override
        public CompletableFuture<Void> addMember(LogMember member, boolean established) {
            return mLog.addMember(member, established);
        }

        @Override
        public CompletableFuture<Void> removeMember(String name) {
            return mLog.removeMember(name);
        }

        @Override
        public Optional<IbisstandException> failure() {
            return mIsBroken && mFails
                    ? Optional.of(new IbisstandException(ErrorCode.STORAGE_DAMAGED, "broken"))
                    : Optional.empty();
        }

        @Override
        public void close() {
            mLog.close();
        }

        private void throwIfBroken() {
            if (mIsBroken) {
                throw new IllegalStateException("the log is broken");
            }
        }
    }

    private static ControlSettings settings() {
        String json =
                "{'member':'control-1','zone':'a','wire':{'host':'127.0.0.1','port':0},"
                        + "'administration':{'host':'127.0.0.1','port':0,"
                        + "'operator_token_sha256':'"
                        + Digests.hexadecimal(OPERATOR_TOKEN)
                        + "'},'data_folder':'unused',"
                        + "'members':[{'member':'control-1','address':'127.0.0.1:1'}]}";
        byte[] text = json.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        return SettingsReader.create().readControl(text);
    }

    private WireConnection connect() {
        CompletableFuture<WireConnection> openedConnection = new CompletableFuture<>();
        FrameHandler handler =
                new FrameHandler() {
                    @Override
                    public void received(WireConnection connection, Frame frame) {}

                    @Override
                    public void opened(WireConnection connection) {
                        openedConnection.complete(connection);
                    }
                };
        WireContext context =
                new WireContext(
                        mEventLoopGroup,
                        WireSettings.standard(),
                        "entry-1",
                        "entry",
                        BootIdentifier.create(),
                        new Random(1));
        WireClient.connect(context, new InetSocketAddress("127.0.0.1", mDaemon.port()), handler);
        return openedConnection.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
    }

    private HttpResponse<String> sendHttpRequest(String method, String path, String body) {
        URI address = URI.create("http://127.0.0.1:" + mDaemon.administrationPort() + path);
        HttpRequest request =
                HttpRequest.newBuilder(address)
                        .header("Authorization", "Bearer " + OPERATOR_TOKEN)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return mHttp.sendAsync(request, HttpResponse.BodyHandlers.ofString()).join();
    }

    private static Frame.Builder claimFrame(String key, String body) {
        return Frame.newBuilder().setClaim(TestCommands.claim(key, body, "agent-1", 7));
    }

    private static Frame.Builder announcementFrame(long boot, boolean leaving) {
        AgentRecord agent =
                AgentRecord.newBuilder()
                        .setAgent("agent-1")
                        .setAddress("127.0.0.1:9")
                        .setBoot(boot)
                        .setLeaving(leaving)
                        .build();
        return Frame.newBuilder().setAnnounce(Announce.newBuilder().setAgent(agent));
    }

    private static BlockingQueue<Update> watch(WireConnection connection) {
        BlockingQueue<Update> updates = new LinkedBlockingQueue<>();
        Watch watch = Watch.newBuilder().setProcess("entry-1").build();
        connection.open(
                Frame.newBuilder().setWatch(watch),
                new AnswerHandler() {
                    @Override
                    public void answered(Frame frame) {
                        updates.add(frame.getUpdate());
                    }

                    @Override
                    public void lost(IbisstandException cause) {}
                });
        return updates;
    }

    private static Update awaitUpdate(BlockingQueue<Update> updates) throws InterruptedException {
        return Optional.ofNullable(updates.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                .orElseThrow();
    }

    @Test
    void aKeyIsGrantedOnceAndThenBound() {
        WireConnection connection = connect();
        ClaimReply first =
                connection.call(claimFrame("key", "body"), TIMEOUT).join().getClaimReply();
        ClaimReply second =
                connection.call(claimFrame("key", "body"), TIMEOUT).join().getClaimReply();
        ClaimReply other =
                connection.call(claimFrame("key", "other"), TIMEOUT).join().getClaimReply();
        assertThat(first.getResult()).isEqualTo(ClaimReply.Result.GRANTED);
        assertThat(second.getResult()).isEqualTo(ClaimReply.Result.BOUND);
        assertThat(second.getAttempt()).isEqualTo(first.getAttempt());
        assertThat(other.getResult()).isEqualTo(ClaimReply.Result.BODY_MISMATCH);
    }

    @Test
    void watchersGetChangesOfConfigurationAndAgents() throws InterruptedException {
        WireConnection connection = connect();
        BlockingQueue<Update> updates = watch(connection);
        assertThat(awaitUpdate(updates).getRevision()).isEqualTo(0);
        sendHttpRequest(
                "POST", "/configuration?expected_revision=0&change=first", EMPTY_CONFIGURATION);
        connection.call(announcementFrame(7, false), TIMEOUT).join();
        boolean hasConfiguration = false;
        boolean hasAgent = false;
        while (!hasConfiguration || !hasAgent) {
            Update update = awaitUpdate(updates);
            hasConfiguration |=
                    update.getConfiguration().toStringUtf8().equals(EMPTY_CONFIGURATION);
            hasAgent |= update.getAgentsList().stream().anyMatch(agent -> agent.getBoot() == 7);
        }
        connection.call(announcementFrame(7, true), TIMEOUT).join();
        assertThat(awaitUpdate(updates).getAgents(0).getLeaving()).isTrue();
    }

    @Test
    void theStatusShowsTheRevisionThatAWatcherLastReported() {
        WireConnection connection = connect();
        Watch first = Watch.newBuilder().setProcess("entry-1").build();
        long correlation = connection.open(Frame.newBuilder().setWatch(first), IGNORING_HANDLER);
        Watch report = Watch.newBuilder().setProcess("entry-1").setRevision(9).build();
        connection.send(correlation, Frame.newBuilder().setWatch(report));
        connection.call(announcementFrame(7, false), TIMEOUT).join();
        assertThat(sendHttpRequest("GET", "/configuration/status", "").body())
                .contains("{\"process\":\"entry-1\",\"revision\":9}");
    }

    @Test
    void anAnnouncementOfAPreviousBootIsRefused() {
        WireConnection connection = connect();
        connection.call(announcementFrame(7, false), TIMEOUT).join();
        connection.call(announcementFrame(8, false), TIMEOUT).join();
        CompletionException failure =
                assertThrows(
                        CompletionException.class,
                        () -> connection.call(announcementFrame(7, false), TIMEOUT).join());
        assertThat(((IbisstandException) failure.getCause()).code()).isEqualTo(ErrorCode.FENCED);
    }

    @Test
    void aChangeNeedsTheCurrentRevisionAndItsResendGetsTheFirstResult() {
        String firstPath = "/configuration?expected_revision=0&change=first";
        String conflictingPath = "/configuration?expected_revision=0&change=rival";
        String otherConfiguration = EMPTY_CONFIGURATION.replace("\"teams\":[]", "\"teams\": []");
        assertThat(sendHttpRequest("POST", firstPath, EMPTY_CONFIGURATION).body())
                .isEqualTo("{\"revision\":1}");
        assertThat(sendHttpRequest("POST", firstPath, EMPTY_CONFIGURATION).body())
                .isEqualTo("{\"revision\":1}");
        assertThat(sendHttpRequest("POST", firstPath, otherConfiguration).statusCode())
                .isEqualTo(409);
        assertThat(sendHttpRequest("POST", conflictingPath, otherConfiguration).statusCode())
                .isEqualTo(409);
        assertThat(sendHttpRequest("POST", conflictingPath + "2", "{}").statusCode())
                .isEqualTo(400);
        assertThat(sendHttpRequest("GET", "/configuration", "").body()).contains("\"revision\":1");
        assertThat(sendHttpRequest("GET", "/members", "").body()).contains("\"role\":\"LEADER\"");
        assertThat(sendHttpRequest("GET", "/state", "").body()).contains("\"revision\" : 1");
    }
}
