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
 * Reaches the backend server over HTTP/1.1.
 *
 * <p>Requests that may run only once use a new connection each, since a kept one may be closed by
 * the server in the moment of sending, and then nobody can tell whether the request ran.
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
     * Returns a backend that connects on demand.
     *
     * @param settings the address of the backend server and the timeouts
     * @param group the event loops to use
     */
    static HttpBackend create(AgentSettings settings, EventLoopGroup group) {
        return new HttpBackend(
                settings.backend().baseUrl(),
                client(group, settings.timing(), true),
                client(group, settings.timing(), false));
    }

    private static AsyncHttpClient client(
            EventLoopGroup group, AgentSettings.Timing timing, boolean keep) {
        Duration connectTimeout = Duration.ofMillis(timing.backendConnectTimeoutMilliseconds());
        Duration idleTimeout = Duration.ofMillis(timing.backendIdleTimeoutMilliseconds());
        return Dsl.asyncHttpClient(
                BackendClientConfig.builder(group)
                        .setMaxRequestRetry(0)
                        .setFollowRedirect(false)
                        .setCookieStore(null)
                        .setKeepAlive(keep)
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
        call.run(client.executeRequest(request(submit, timeout), call));
        return call;
    }

    /** Returns the client with kept connections, for requests that may run more than once. */
    AsyncHttpClient client() {
        return mPooled;
    }

    private Request request(Submit submit, Duration timeout) {
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
            throw new IllegalStateException("closing a client does no input or output", e);
        }
    }
}
