package org.ibisstand.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.wire.message.Cancel;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.Heartbeat;
import org.ibisstand.wire.message.Hello;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConnectionTest {
    private static final Duration LONG = Duration.ofSeconds(20);

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private static final Duration INTERVAL = WireSettings.standard().heartbeatInterval();
    private static final Duration SILENCE = WireSettings.standard().silenceLimit();

    private final List<Frame> mReceived = new ArrayList<>();
    private final List<WireConnection> mOpened = new ArrayList<>();
    private final WireContext mContext =
            new WireContext(
                    mGroup,
                    WireSettings.standard(),
                    "test",
                    "entry",
                    BootIdentifier.create(),
                    new Random(1));

    @AfterEach
    void stopEventLoops() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private WireConnection connectTo(WireServer server) {
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
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.port());
        WireClient.connect(mContext, address, handler);
        return opened.orTimeout(LONG.toSeconds(), TimeUnit.SECONDS).join();
    }

    private WireServer serve(FrameHandler handler) {
        return WireServer.start(mContext, new InetSocketAddress("127.0.0.1", 0), handler);
    }

    private static Frame.Builder request() {
        return Frame.newBuilder().setCancel(Cancel.getDefaultInstance());
    }

    @Test
    void answersReachTheCallThatTheyBelongToWhenTheyComeCrossed() {
        List<Frame> held = new ArrayList<>();
        WireServer server =
                serve(
                        (connection, frame) -> {
                            held.add(frame);
                            if (held.size() == 2) {
                                answer(connection, held.get(1));
                                answer(connection, held.get(0));
                            }
                        });
        WireConnection connection = connectTo(server);
        CompletableFuture<Frame> first = connection.call(request(), LONG);
        CompletableFuture<Frame> second = connection.call(request(), LONG);
        assertThat(first.join().getAcknowledge().getNextSequence())
                .isEqualTo(first.join().getCorrelation());
        assertThat(second.join().getAcknowledge().getNextSequence())
                .isEqualTo(second.join().getCorrelation());
        assertThat(first.join().getCorrelation()).isNotEqualTo(second.join().getCorrelation());
    }

    private static void answer(WireConnection connection, Frame request) {
        Frame.Builder answer = Frame.newBuilder();
        answer.getAcknowledgeBuilder().setNextSequence(request.getCorrelation());
        connection.send(request.getCorrelation(), answer);
    }

    @Test
    void callsFailWhenTheConnectionIsLost() {
        WireServer server = serve((connection, frame) -> connection.close());
        CompletableFuture<Frame> answer = connectTo(server).call(request(), LONG);
        CompletionException failure = assertThrows(CompletionException.class, answer::join);
        assertThat(((IbisstandException) failure.getCause()).code())
                .isEqualTo(ErrorCode.CONNECTION_LOST);
    }

    @Test
    void reportsAPortInUse() {
        WireServer server = serve((connection, frame) -> {});
        InetSocketAddress taken = new InetSocketAddress("127.0.0.1", server.port());
        IbisstandException failure =
                assertThrows(
                        IbisstandException.class,
                        () -> WireServer.start(mContext, taken, (connection, frame) -> {}));
        assertThat(failure.code()).isEqualTo(ErrorCode.PORT_IN_USE);
    }

    /** Keeps what a connection reports. */
    private final class Recorder implements FrameHandler {
        @Override
        public void received(WireConnection connection, Frame frame) {
            mReceived.add(frame);
        }

        @Override
        public void opened(WireConnection connection) {
            mOpened.add(connection);
        }
    }

    private EmbeddedChannel embedded() {
        EmbeddedChannel channel =
                new EmbeddedChannel(new ConnectionInitializer(mContext, new Recorder(), false));
        channel.freezeTime();
        return channel;
    }

    private static ByteBuf encode(Frame frame) {
        byte[] bytes = frame.toByteArray();
        return Unpooled.buffer().writeInt(bytes.length).writeBytes(bytes);
    }

    private static Frame hello(int version) {
        return Frame.newBuilder()
                .setProtocolVersion(version)
                .setHello(Hello.newBuilder().setProcess("peer"))
                .build();
    }

    private static Frame heartbeat(boolean waiting) {
        return Frame.newBuilder()
                .setProtocolVersion(WireConnection.PROTOCOL_VERSION)
                .setHeartbeat(Heartbeat.newBuilder().setWaiting(waiting))
                .build();
    }

    private void advance(EmbeddedChannel channel, Duration time) {
        channel.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private EmbeddedChannel greeted() {
        EmbeddedChannel channel = embedded();
        channel.writeInbound(encode(hello(WireConnection.PROTOCOL_VERSION)));
        channel.releaseOutbound();
        return channel;
    }

    @Test
    void closesAConnectionWhosePeerWaitedAndWentSilent() {
        EmbeddedChannel channel = greeted();
        channel.writeInbound(encode(heartbeat(true)));
        advance(channel, SILENCE);
        assertThat(channel.isOpen()).isTrue();
        advance(channel, INTERVAL);
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void closesAConnectionThatItWaitsOnInVain() {
        EmbeddedChannel channel = greeted();
        CompletableFuture<Frame> answer = mOpened.get(0).call(request(), LONG);
        advance(channel, SILENCE.plus(INTERVAL));
        assertThat(channel.isOpen()).isFalse();
        assertThat(answer.isCompletedExceptionally()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 2})
    void closesAConnectionThatNeverGreets(int bytesSent) {
        EmbeddedChannel channel = embedded();
        channel.writeInbound(Unpooled.buffer().writeZero(bytesSent));
        advance(channel, SILENCE.plus(INTERVAL));
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void closesAWatchedConnectionThatWentSilentWithoutARequest() {
        EmbeddedChannel channel = greeted();
        mOpened.get(0).watch();
        advance(channel, SILENCE.plus(INTERVAL));
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void keepsAnIdleConnectionOpenAndSendsNothingOverIt() {
        EmbeddedChannel channel = greeted();
        for (int second = 0; second < 60; second++) {
            advance(channel, Duration.ofSeconds(1));
        }
        assertThat(channel.isOpen()).isTrue();
        assertThat(channel.outboundMessages()).isEmpty();
    }

    @Test
    void countsSilenceFromTheRequestAndNotFromTheIdleTimeBefore() {
        EmbeddedChannel channel = greeted();
        advance(channel, Duration.ofMinutes(10));
        mOpened.get(0).call(request(), LONG);
        advance(channel, SILENCE.minus(INTERVAL));
        assertThat(channel.isOpen()).isTrue();
    }

    @Test
    void keepsAConnectionOpenWhosePeerStoppedWaiting() {
        EmbeddedChannel channel = greeted();
        channel.writeInbound(encode(heartbeat(true)));
        channel.writeInbound(encode(heartbeat(false)));
        advance(channel, SILENCE.multipliedBy(5));
        assertThat(channel.isOpen()).isTrue();
    }

    @Test
    void keepsAConnectionOpenThatOnlyCarriesHeartbeats() {
        EmbeddedChannel channel = greeted();
        mOpened.get(0).call(request(), Duration.ofMinutes(10));
        for (int round = 0; round < 40; round++) {
            advance(channel, INTERVAL);
            channel.writeInbound(encode(heartbeat(true)));
        }
        assertThat(channel.isOpen()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 2, 99})
    void refusesAFrameOfAnotherVersion(int version) {
        EmbeddedChannel channel = embedded();
        channel.writeInbound(encode(hello(version)));
        assertThat(channel.isOpen()).isFalse();
        assertThat(mReceived).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {Integer.MAX_VALUE, -1, 64 * 1024 * 1024})
    void refusesAFrameOfAnImpossibleLength(int length) {
        EmbeddedChannel channel = embedded();
        channel.writeInbound(Unpooled.buffer().writeInt(length).writeLong(1));
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void refusesADamagedMessage() {
        EmbeddedChannel channel = embedded();
        channel.writeInbound(Unpooled.buffer().writeInt(4).writeInt(-1));
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void refusesARequestBeforeTheHello() {
        EmbeddedChannel channel = embedded();
        Frame request =
                request()
                        .setProtocolVersion(WireConnection.PROTOCOL_VERSION)
                        .setCorrelation(1)
                        .build();
        channel.writeInbound(encode(request));
        assertThat(channel.isOpen()).isFalse();
        assertThat(mReceived).isEmpty();
    }
}
