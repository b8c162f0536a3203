package org.ibisstand.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.wire.message.Claim;
import org.ibisstand.wire.message.ClaimReply;
import org.ibisstand.wire.message.Frame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ControlClientTest {
    private static final Duration PATIENCE = Duration.ofSeconds(20);

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final WireContext mContext =
            new WireContext(
                    mGroup,
                    WireSettings.standard(),
                    "test",
                    "control",
                    BootIdentifier.create(),
                    new Random(1));
    private final AtomicInteger mRequests = new AtomicInteger();

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @EnumSource(names = {"NOT_LEADER", "NO_QUORUM", "OUTCOME_UNKNOWN"})
    void aRequestThatAnotherLeaderMayAnswerIsSentAgain(ErrorCode code) {
        assertThat(claimOnceRefusedWith(code).hasClaimReply()).isTrue();
        assertThat(mRequests.get()).isAtLeast(2);
    }

    @ParameterizedTest
    @EnumSource(names = {"IDEMPOTENCY_KEY_REUSED", "OVERLOADED"})
    void aRefusalOfTheLeaderIsGivenToTheCaller(ErrorCode code) {
        CompletionException thrown =
                assertThrows(CompletionException.class, () -> claimOnceRefusedWith(code));
        assertThat(((IbisstandException) thrown.getCause()).code()).isEqualTo(code);
    }

    private Frame claimOnceRefusedWith(ErrorCode code) {
        FrameHandler member =
                (connection, frame) -> connection.send(frame.getCorrelation(), answer(frame, code));
        FrameHandler none = (connection, frame) -> {};
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        try (WireServer server = WireServer.start(mContext, any, member);
                ControlClient client =
                        ControlClient.connect(
                                mContext,
                                MonotonicClock.start(),
                                List.of(new InetSocketAddress("127.0.0.1", server.port())),
                                none)) {
            Frame claim = Frame.newBuilder().setClaim(Claim.getDefaultInstance()).build();
            return client.call(claim, PATIENCE).join();
        }
    }

    private Frame.Builder answer(Frame frame, ErrorCode code) {
        if (mRequests.incrementAndGet() == 1) {
            return Failures.frameOf(new IbisstandException(code, "refused once"));
        }
        return Frame.newBuilder().setClaimReply(ClaimReply.getDefaultInstance());
    }
}
