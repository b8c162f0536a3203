package org.ibisstand.agent;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.time.Duration;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.ibisstand.settings.AgentSettings;
import org.ibisstand.wire.message.Header;
import org.ibisstand.wire.message.Submit;

/**
 * Sends requests to the backend server over HTTP/1.1.
 *
 * <p>Each request that is not idempotent uses a new connection: the server may close a pooled one
 * while the request is being sent, and then it is unknown whether the request ran.
 */
final class HttpBackend implements Backend, AutoCloseable {
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(100);

    private final String mBaseUrl;
    private final AsyncHttpClient mPooled;
    private final AsyncHttpClient mUnpooled;

    private HttpBackend(String baseUrl, AsyncHttpClient pooled, AsyncHttpClient unpooled) {
        mBaseUrl = baseUrl;
        mPooled = pooled;
        mUnpooled = unpooled;
    }

    /**
     * Returns a backend that opens connections on demand.
     *
     * @param settings the address of the backend server and the timeouts
     * @param group the event loops of the HTTP clients
     */
    static HttpBackend create(AgentSettings settings, EventLoopGroup group) {
        return new HttpBackend(
                settings.backend().baseUrl(),
                createClient(group, settings.timing(), true),
                createClient(group, settings.timing(), false));
    }

    private static AsyncHttpClient createClient(
            EventLoopGroup group, AgentSettings.Timing timing, boolean keepAlive) {
        Duration connectTimeout = Duration.ofMillis(timing.backendConnectTimeoutMilliseconds());
        Duration idleTimeout = Duration.ofMillis(timing.backendIdleTimeoutMilliseconds());
        return Dsl.asyncHttpClient(
                BackendClientConfig.builder(group)
                        .setMaxRequestRetry(0)
                        .setFollowRedirect(false)
                        .setCookieStore(null)
                        .setKeepAlive(keepAlive)
                        .setConnectTimeout(connectTimeout)
                        .setReadTimeout(idleTimeout)
                        .setShutdownQuietPeriod(Duration.ZERO)
                        .setShutdownTimeout(CLOSE_TIMEOUT)
                        .build());
    }

    @Override
    public BackendCall start(Submit submit, Duration timeout, BackendListener listener) {
        HttpBackendCall call = new HttpBackendCall(listener);
        AsyncHttpClient client = submit.getIdempotent() ? mPooled : mUnpooled;
        call.setFuture(client.executeRequest(toHttpRequest(submit, timeout), call));
        return call;
    }

    /** Returns the client with pooled connections, for idempotent requests only. */
    AsyncHttpClient pooledClient() {
        return mPooled;
    }

    private Request toHttpRequest(Submit submit, Duration timeout) {
        HttpHeaders headers = new DefaultHttpHeaders();
        for (Header header : submit.getHeadersList()) {
            headers.add(header.getName(), header.getValue());
        }
        return new RequestBuilder(submit.getMethod(), true)
                .setUrl(mBaseUrl + submit.getPath())
                .setHeaders(headers)
                .setBody(submit.getBody().toByteArray())
                .setRequestTimeout(timeout)
                .build();
    }

    @Override
    public void close() {
        try {
            mPooled.close();
            mUnpooled.close();
        } catch (IOException e) {
            throw new IllegalStateException(
                    "closing an HTTP client failed unexpectedly, as it does no I/O", e);
        }
    }
}
