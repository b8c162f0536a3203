package org.ibisstand.entry;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.Verdict;
import org.tinylog.Logger;

/** Serves the requests of one caller's connection, or of one HTTP/2 stream, one after another. */
final class CallerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MOST_PIPELINED = 16;

    private final CallerContext mContext;
    private final Queue<FullHttpRequest> mPipelined = new ArrayDeque<>();
    private Optional<Flow> mFlow = Optional.empty();
    private boolean mBusy;

    CallerHandler(CallerContext context) {
        mContext = context;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext channel, FullHttpRequest request) {
        if (!mBusy) {
            serve(channel, request);
        } else if (mPipelined.size() < MOST_PIPELINED) {
            mPipelined.add(request.retain());
        } else {
            channel.close();
        }
    }

    private void serve(ChannelHandlerContext channel, FullHttpRequest request) {
        mBusy = true;
        String identifier = mContext.nextRequestIdentifier();
        // The decoder discards whatever follows a damaged request.
        boolean reusable = request.decoderResult().isSuccess() && HttpUtil.isKeepAlive(request);
        boolean keepAlive = reusable && !mContext.isDraining();
        HttpAnswerSink sink =
                new HttpAnswerSink(
                        channel,
                        identifier,
                        mContext.revision(),
                        keepAlive,
                        () -> answered(channel));
        try {
            requireDecoded(request.decoderResult());
            begin(channel, mContext.read(identifier, request), sink);
        } catch (IbisstandException e) {
            refuse(identifier, new Verdict.NotRun(e.code(), e.getMessage()), sink);
        }
    }

    private void begin(ChannelHandlerContext channel, Call call, HttpAnswerSink sink) {
        Optional<Verdict.NotRun> refusal = mContext.begin(call);
        if (refusal.isPresent()) {
            refuse(call.request(), refusal.get(), sink);
            return;
        }
        Flow flow = mContext.flow(call, channel.executor(), sink);
        mFlow = Optional.of(flow);
        flow.start();
    }

    private void refuse(String identifier, Verdict.NotRun verdict, HttpAnswerSink sink) {
        mContext.refused(identifier, verdict);
        sink.fail(verdict);
    }

    private void answered(ChannelHandlerContext channel) {
        mBusy = false;
        mFlow = Optional.empty();
        FullHttpRequest next = mPipelined.poll();
        if (next != null) {
            channel.executor()
                    .execute(
                            () -> {
                                serve(channel, next);
                                next.release();
                            });
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext channel) {
        mFlow.ifPresent(Flow::callerGone);
        mFlow = Optional.empty();
        mPipelined.forEach(FullHttpRequest::release);
        mPipelined.clear();
        channel.fireChannelInactive();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext channel, Object event) {
        boolean idle = event instanceof IdleStateEvent && !mBusy;
        if (idle || (event == ConnectionDrain.EVENT && !mBusy)) {
            channel.close();
        } else {
            channel.fireUserEventTriggered(event);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
        Logger.debug("event=caller_failed cause={}", cause.toString());
        channel.close();
    }

    private static void requireDecoded(DecoderResult result) {
        if (result.isSuccess()) {
            return;
        }
        boolean tooLong =
                result.cause() instanceof TooLongHttpHeaderException
                        || result.cause() instanceof TooLongHttpLineException;
        throw new IbisstandException(
                tooLong ? ErrorCode.HEADER_TOO_LARGE : ErrorCode.REQUEST_MALFORMED,
                String.valueOf(result.cause().getMessage()));
    }
}
