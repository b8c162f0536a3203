package org.ibisstand.entry;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerUpgradeHandler;
import io.netty.handler.codec.http2.CleartextHttp2ServerUpgradeHandler;
import io.netty.handler.codec.http2.Http2CodecUtil;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2ServerUpgradeCodec;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import org.ibisstand.settings.EntrySettings;

/**
 * Sets up a caller's connection for HTTP/1.1, and for HTTP/2 by prior knowledge or upgrade.
 *
 * <p>Every HTTP/2 stream gets the handlers of an HTTP/1.1 connection.
 */
final class CallerInitializer extends ChannelInitializer<Channel> {
    private static final int MAXIMUM_LINE_BYTES = 8192;
    private static final int MAXIMUM_CHUNK_BYTES = 16 * 1024;
    private static final long MAXIMUM_STREAMS = 256;

    private final EntrySettings mSettings;
    private final CallerContext mContext;

    CallerInitializer(EntrySettings settings, CallerContext context) {
        mSettings = settings;
        mContext = context;
    }

    @Override
    protected void initChannel(Channel channel) {
        RequestTimeout timeout =
                new RequestTimeout(mSettings.timing().requestTimeoutMilliseconds());
        HttpServerCodec codec =
                new HttpServerCodec(
                        MAXIMUM_LINE_BYTES,
                        mSettings.limits().maximumHeaderBytes(),
                        MAXIMUM_CHUNK_BYTES);
        // A request that offers an upgrade may have a body like any other.
        HttpServerUpgradeHandler upgrade =
                new HttpServerUpgradeHandler(
                        codec, this::upgradeCodec, mSettings.limits().maximumBodyBytes());
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(
                new IdleStateHandler(
                        0, 0, mSettings.timing().idleTimeoutMilliseconds(), TimeUnit.MILLISECONDS));
        pipeline.addLast(new CleartextHttp2ServerUpgradeHandler(codec, upgrade, http2Connection()));
        pipeline.addLast(new FirstHttp1Message(timeout));
    }

    private HttpServerUpgradeHandler.UpgradeCodec upgradeCodec(CharSequence protocol) {
        if (!AsciiString.contentEquals(Http2CodecUtil.HTTP_UPGRADE_PROTOCOL_NAME, protocol)) {
            return null;
        }
        return new Http2ServerUpgradeCodec(frameCodec(), new Http2MultiplexHandler(streams()));
    }

    private ChannelHandler http2Connection() {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(frameCodec(), new Http2MultiplexHandler(streams()));
            }
        };
    }

    private Http2FrameCodec frameCodec() {
        Http2Settings settings =
                Http2Settings.defaultSettings()
                        .maxConcurrentStreams(MAXIMUM_STREAMS)
                        .maxHeaderListSize(mSettings.limits().maximumHeaderBytes());
        return Http2FrameCodecBuilder.forServer().initialSettings(settings).build();
    }

    private ChannelInitializer<Channel> streams() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel stream) {
                RequestTimeout timeout =
                        new RequestTimeout(mSettings.timing().requestTimeoutMilliseconds());
                stream.pipeline()
                        .addLast(timeout)
                        .addLast(new Http2StreamFrameToHttpObjectCodec(true))
                        .addLast(aggregator(timeout))
                        .addLast(new CallerHandler(mContext));
            }
        };
    }

    private RequestAggregator aggregator(RequestTimeout timeout) {
        return new RequestAggregator(mSettings.limits().maximumBodyBytes(), timeout);
    }

    /** Sets up the rest of the pipeline once a connection turns out to speak HTTP/1.1. */
    private final class FirstHttp1Message extends SimpleChannelInboundHandler<HttpMessage> {
        private final RequestTimeout mTimeout;

        FirstHttp1Message(RequestTimeout timeout) {
            mTimeout = timeout;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext channel) {
            // The timer starts with the first byte, before anything can be decoded.
            channel.pipeline().addFirst(mTimeout);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext channel, HttpMessage message) {
            ChannelPipeline pipeline = channel.pipeline();
            pipeline.addAfter(channel.name(), null, new CallerHandler(mContext));
            pipeline.replace(this, null, aggregator(mTimeout));
            channel.fireChannelRead(ReferenceCountUtil.retain(message));
        }
    }
}
