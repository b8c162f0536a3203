package org.ibisstand.agent;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.ibisstand.base.StatusLine;

/**
 * Encodes the request of one exchange and decodes its responses. Unlike Netty's client codec it
 * rejects malformed status lines.
 */
final class ExchangeCodec
        extends CombinedChannelDuplexHandler<ExchangeCodec.Decoder, HttpRequestEncoder> {
    /**
     * Creates a codec for one exchange.
     *
     * @param method the method of its request
     */
    ExchangeCodec(HttpMethod method) {
        super(new Decoder(method.equals(HttpMethod.HEAD)), new HttpRequestEncoder());
    }

    /** Decodes the responses of one exchange. */
    static final class Decoder extends HttpResponseDecoder {
        private final boolean mHeadRequested;

        private Decoder(boolean headRequested) {
            super(new HttpDecoderConfig());
            mHeadRequested = headRequested;
        }

        /** Decoding the status as a number would accept signs, leading zeros and any version. */
        @Override
        protected HttpMessage createMessage(String[] initialLine) {
            StatusLine.check(initialLine[0], initialLine[1]);
            return super.createMessage(initialLine);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return mHeadRequested || super.isContentAlwaysEmpty(message);
        }
    }
}
