package org.ibisstand.agent;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.junit.jupiter.api.Test;

class HttpEngineLoaderTest {
    private static final int TIMEOUT_SECONDS = 30;

    /** More than the socket buffers hold in addition to a response of the maximum size. */
    private static final long MAXIMUM_SENT_BYTES = 24 << 20;

    @Test
    void unboundedResponseToALoadOrderFailsTheOrder() throws Exception {
        EventLoopGroup eventLoops = new NioEventLoopGroup(1);
        try (ServerSocket engine = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                AsyncHttpClient client =
                        Dsl.asyncHttpClient(BackendClientConfig.builder(eventLoops))) {
            CompletableFuture<Long> sentBytes = CompletableFuture.supplyAsync(() -> serve(engine));
            HttpEngineLoader loader =
                    new HttpEngineLoader(client, "http://127.0.0.1:" + engine.getLocalPort());

            CompletableFuture<Boolean> loaded = loader.load("model", "1", 1);

            assertThrows(CompletionException.class, loaded::join);
            assertThat(sentBytes.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .isLessThan(MAXIMUM_SENT_BYTES);
        } finally {
            eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** Sends an unbounded response to one request; returns the bytes sent before the close. */
    private static long serve(ServerSocket engine) {
        long sentBytes = 0;
        byte[] block = "x".repeat(8_192).getBytes(StandardCharsets.US_ASCII);
        try (Socket connection = engine.accept()) {
            OutputStream output = connection.getOutputStream();
            output.write("HTTP/1.1 200 X\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            while (true) {
                output.write(block);
                sentBytes += block.length;
            }
        } catch (IOException e) {
            return sentBytes;
        }
    }
}
