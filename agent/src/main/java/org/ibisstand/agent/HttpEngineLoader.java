package org.ibisstand.agent;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Response;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.settings.JsonReader;
import org.tinylog.Logger;

/** Sends orders to load weights to the engine over HTTP. */
final class HttpEngineLoader implements EngineLoader {
    private static final String LOAD_PATH = "/admin/load";
    private static final Duration LOAD_TIMEOUT = Duration.ofSeconds(60);
    private static final int OK = 200;

    /** The body of the response is ignored, so a small limit suffices. */
    private static final int MAXIMUM_RESPONSE_BYTES = 1 << 16;

    /**
     * The JSON body of a load order.
     *
     * @param model the model's name
     * @param weightsVersion the version to serve
     * @param fencingNumber increases with every order; engines may reject lower numbers
     */
    record LoadOrder(String model, String weightsVersion, long fencingNumber) {}

    private final AsyncHttpClient mClient;
    private final String mUrl;
    private final JsonReader mJson = JsonReader.create();

    HttpEngineLoader(AsyncHttpClient client, String baseUrl) {
        mClient = client;
        mUrl = baseUrl + LOAD_PATH;
    }

    @Override
    public CompletableFuture<Boolean> load(
            String model, String weightsVersion, long fencingNumber) {
        byte[] body = mJson.write(new LoadOrder(model, weightsVersion, fencingNumber));
        return mClient.preparePost(mUrl)
                .setHeader("content-type", "application/json")
                .setBody(body)
                .setRequestTimeout(LOAD_TIMEOUT)
                .execute(new BoundedResponseHandler(MAXIMUM_RESPONSE_BYTES))
                .toCompletableFuture()
                .thenApply(HttpEngineLoader::isLoaded);
    }

    private static boolean isLoaded(Response response) {
        int status = response.getStatusCode();
        boolean isRefused = status >= 400 && status < 500;
        if (status != OK && !isRefused) {
            throw new IbisstandException(
                    ErrorCode.BACKEND_FAILED,
                    "the engine failed a load order with HTTP status " + status);
        }
        if (isRefused) {
            Logger.warn("event=order_refused status={}", status);
        }
        return status == OK;
    }
}
