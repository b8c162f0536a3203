package org.ibisstand.agent;

import io.netty.channel.EventLoopGroup;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.netty.channel.ChannelManager;

/** What all HTTP clients of backend servers share. */
public final class BackendClientConfig {
    private BackendClientConfig() {}

    /**
     * Returns settings for a client that takes answers as they are sent, for as long as they may be
     * answers.
     *
     * @param group the event loops to use
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
                                                new InterimHeads()));
    }
}
