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
 * <p>Each request uses a new connection. Responses carry no identifier, so on a kept connection a
 * second copy of an earlier response could not be told from the response to the request. The server
 * may also close a kept connection while the request is being sent, and then it is unknown whether
 * the request ran.
 */
final class HttpBackend implements Backend, AutoCloseable {
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(100);

    private final String mBaseUrl;
    private final AsyncHttpClient mClient;

    private HttpBackend(String baseUrl, AsyncHttpClient client) {
        mBaseUrl = baseUrl;
        mClient = client;
    }

    /**
     * Returns a backend that opens connections on demand.
     *
     * @param settings the address of the backend server and the timeouts
     * @param group the event loops of the HTTP clients
     */
    static HttpBackend create(AgentSettings settings, EventLoopGroup group) {
        return new HttpBackend(
                settings.backend().baseUrl(), createClient(group, settings.timing()));
    }

    private static AsyncHttpClient createClient(EventLoopGroup group, AgentSettings.Timing timing) {
        Duration connectTimeout = Duration.ofMillis(timing.backendConnectTimeoutMilliseconds());
        Duration idleTimeout = Duration.ofMillis(timing.backendIdleTimeoutMilliseconds());
        return Dsl.asyncHttpClient(
                BackendClientConfig.builder(group)
                        .setMaxRequestRetry(0)
                        .setFollowRedirect(false)
                        .setCookieStore(null)
                        .setKeepAlive(false)
                        .setConnectTimeout(connectTimeout)
                        .setReadTimeout(idleTimeout)
                        .setShutdownQuietPeriod(Duration.ZERO)
                        .setShutdownTimeout(CLOSE_TIMEOUT)
                        .build());
    }

    @Override
    public BackendCall start(Submit submit, Duration timeout, BackendListener listener) {
        HttpBackendCall call = new HttpBackendCall(listener);
        call.setFuture(mClient.executeRequest(toHttpRequest(submit, timeout), call));
        return call;
    }

    /** Returns the client for other calls to the server; it opens a connection for each. */
    AsyncHttpClient client() {
        return mClient;
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
            mClient.close();
        } catch (IOException e) {
            throw new IllegalStateException(
                    "closing the HTTP client failed unexpectedly, as it does no I/O", e);
        }
    }
}
