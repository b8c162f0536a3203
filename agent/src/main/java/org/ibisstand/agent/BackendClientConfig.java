package org.ibisstand.agent;

import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;

/** Common configuration of the HTTP clients for backend servers. */
public final class BackendClientConfig {
    private BackendClientConfig() {}

    /**
     * Returns a configuration for a client that receives responses without decompressing them and
     * closes a connection that sends interim responses without a final one, or bytes that belong to
     * no exchange.
     *
     * @param group the event loops of the client
     */
    public static DefaultAsyncHttpClientConfig.Builder builder(EventLoopGroup group) {
        return new DefaultAsyncHttpClientConfig.Builder()
                .setEventLoopGroup(group)
                .setUseNativeTransport(false)
                .setEnableAutomaticDecompression(false)
                .addChannelOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .setHttpAdditionalChannelInitializer(
                        channel -> ExchangeHandler.addTo(channel.pipeline()));
    }
}
