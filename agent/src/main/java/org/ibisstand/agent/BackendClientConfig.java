package org.ibisstand.agent;

import io.netty.channel.EventLoopGroup;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.netty.channel.ChannelManager;

/** Common configuration of the HTTP clients for backend servers. */
public final class BackendClientConfig {
    private BackendClientConfig() {}

    /**
     * Returns a configuration for a client that receives responses without decompressing them and
     * closes a connection that sends interim responses without a final one.
     *
     * @param group the event loops of the client
     */
    public static DefaultAsyncHttpClientConfig.Builder builder(EventLoopGroup group) {
        return new DefaultAsyncHttpClientConfig.Builder()
                .setEventLoopGroup(group)
                .setUseNativeTransport(false)
                .setEnableAutomaticDecompression(false)
                .setHttpAdditionalChannelInitializer(
                        channel ->
                                channel.pipeline()
                                        .addAfter(
                                                ChannelManager.HTTP_CLIENT_CODEC,
                                                null,
                                                new InterimResponseFilter()));
    }
}
