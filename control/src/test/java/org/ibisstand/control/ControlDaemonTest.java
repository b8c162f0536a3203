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
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final String TOKEN = "operator";
    private static final String EMPTY_CONFIGURATION =
            "{\"teams\":[],\"models\":[],\"services\":[],\"priority_classes\":[]}";

    private static final AnswerHandler IGNORED =
            new AnswerHandler() {
                @Override
                public void answered(Frame frame) {}

                @Override
                public void lost(IbisstandException cause) {}
            };

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient mHttp = HttpClient.newHttpClient();
    private final ControlDaemon mDaemon =
            ControlDaemon.start(settings(), ControlDaemonTest::openLog);

    @AfterEach
    void stop() {
        mDaemon.close();
        mHttp.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static Log openLog(StateMachine stateMachine, LogContext context) {
        return SingleMemberLog.create(
                stateMachine, new LogMember("control-1", context.address(), true));
    }

    private static ControlSettings settings() {
        String json =
                "{'member':'control-1','zone':'a','wire':{'host':'127.0.0.1','port':0},"
                        + "'administration':{'host':'127.0.0.1','port':0,"
                        + "'operator_token_sha256':'"
                        + Digests.hexadecimal(TOKEN)
                        + "'},'data_folder':'unused',"
                        + "'members':[{'member':'control-1','address':'127.0.0.1:1'}]}";
        byte[] text = json.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        return SettingsReader.create().readControl(text);
    }

    private WireConnection connect() {
        CompletableFuture<WireConnection> opened = new CompletableFuture<>();
        FrameHandler handler =
                new FrameHandler() {
                    @Override
                    public void received(WireConnection connection, Frame frame) {}

                    @Override
                    public void opened(WireConnection connection) {
                        opened.complete(connection);
                    }
                };
        WireContext context =
                new WireContext(
                        mGroup,
                        WireSettings.standard(),
                        "entry-1",
                        "entry",
                        BootIdentifier.create(),
                        new Random(1));
        WireClient.connect(context, new InetSocketAddress("127.0.0.1", mDaemon.port()), handler);
        return opened.orTimeout(LONG.toSeconds(), TimeUnit.SECONDS).join();
    }

    private HttpResponse<String> send(String method, String path, String body) {
        URI address = URI.create("http://127.0.0.1:" + mDaemon.administrationPort() + path);
        HttpRequest request =
                HttpRequest.newBuilder(address)
                        .header("Authorization", "Bearer " + TOKEN)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return mHttp.sendAsync(request, HttpResponse.BodyHandlers.ofString()).join();
    }

    private static Frame.Builder claim(String key, String body) {
        return Frame.newBuilder().setClaim(Commands.claim(key, body, "agent-1", 7));
    }

    private static Frame.Builder announcement(long boot, boolean leaving) {
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

    private static Update next(BlockingQueue<Update> updates) throws InterruptedException {
        return Optional.ofNullable(updates.poll(LONG.toSeconds(), TimeUnit.SECONDS)).orElseThrow();
    }

    @Test
    void aKeyIsGrantedOnceAndThenBound() {
        WireConnection connection = connect();
        ClaimReply first = connection.call(claim("key", "body"), LONG).join().getClaimReply();
        ClaimReply second = connection.call(claim("key", "body"), LONG).join().getClaimReply();
        ClaimReply other = connection.call(claim("key", "other"), LONG).join().getClaimReply();
        assertThat(first.getResult()).isEqualTo(ClaimReply.Result.GRANTED);
        assertThat(second.getResult()).isEqualTo(ClaimReply.Result.BOUND);
        assertThat(second.getAttempt()).isEqualTo(first.getAttempt());
        assertThat(other.getResult()).isEqualTo(ClaimReply.Result.BODY_MISMATCH);
    }

    @Test
    void watchersLearnChangesOfConfigurationAndAgents() throws InterruptedException {
        WireConnection connection = connect();
        BlockingQueue<Update> updates = watch(connection);
        assertThat(next(updates).getRevision()).isEqualTo(0);
        send("POST", "/configuration?expected_revision=0&change=first", EMPTY_CONFIGURATION);
        connection.call(announcement(7, false), LONG).join();
        boolean configured = false;
        boolean announced = false;
        while (!configured || !announced) {
            Update update = next(updates);
            configured |= update.getConfiguration().toStringUtf8().equals(EMPTY_CONFIGURATION);
            announced |= update.getAgentsList().stream().anyMatch(agent -> agent.getBoot() == 7);
        }
        connection.call(announcement(7, true), LONG).join();
        assertThat(next(updates).getAgents(0).getLeaving()).isTrue();
    }

    @Test
    void theStatusShowsTheRevisionThatAWatcherLastReported() {
        WireConnection connection = connect();
        Watch first = Watch.newBuilder().setProcess("entry-1").build();
        long correlation = connection.open(Frame.newBuilder().setWatch(first), IGNORED);
        Watch report = Watch.newBuilder().setProcess("entry-1").setRevision(9).build();
        connection.send(correlation, Frame.newBuilder().setWatch(report));
        connection.call(announcement(7, false), LONG).join();
        assertThat(send("GET", "/configuration/status", "").body())
                .contains("{\"process\":\"entry-1\",\"revision\":9}");
    }

    @Test
    void anAnnouncementOfAnEndedBootIsRefused() {
        WireConnection connection = connect();
        connection.call(announcement(7, false), LONG).join();
        connection.call(announcement(8, false), LONG).join();
        CompletionException failure =
                assertThrows(
                        CompletionException.class,
                        () -> connection.call(announcement(7, false), LONG).join());
        assertThat(((IbisstandException) failure.getCause()).code()).isEqualTo(ErrorCode.FENCED);
    }

    @Test
    void changesNeedTheRevisionInForceAndResendsGetTheFirstResult() {
        String first = "/configuration?expected_revision=0&change=first";
        String rival = "/configuration?expected_revision=0&change=rival";
        String other = EMPTY_CONFIGURATION.replace("\"teams\":[]", "\"teams\": []");
        assertThat(send("POST", first, EMPTY_CONFIGURATION).body()).isEqualTo("{\"revision\":1}");
        assertThat(send("POST", first, EMPTY_CONFIGURATION).body()).isEqualTo("{\"revision\":1}");
        assertThat(send("POST", first, other).statusCode()).isEqualTo(409);
        assertThat(send("POST", rival, other).statusCode()).isEqualTo(409);
        assertThat(send("POST", rival + "2", "{}").statusCode()).isEqualTo(400);
        assertThat(send("GET", "/configuration", "").body()).contains("\"revision\":1");
        assertThat(send("GET", "/members", "").body()).contains("\"role\":\"LEADER\"");
        assertThat(send("GET", "/state", "").body()).contains("\"revision\" : 1");
    }
}
