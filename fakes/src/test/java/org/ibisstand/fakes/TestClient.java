package org.ibisstand.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

/** Sends requests to a fake. */
final class TestClient {
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final JsonMapper mMapper = JsonMapper.builder().build();
    private final String mBaseUrl;

    TestClient(String baseUrl) {
        mBaseUrl = baseUrl;
    }

    String get(String path) throws Exception {
        return mClient.send(request(path).build(), HttpResponse.BodyHandlers.ofString()).body();
    }

    JsonNode getJson(String path) throws Exception {
        return mMapper.readTree(get(path));
    }

    HttpResponse<String> post(String path, String body, String... headers) throws Exception {
        return postLater(path, body, headers).get();
    }

    CompletableFuture<HttpResponse<String>> postLater(String path, String body, String... headers) {
        HttpRequest.Builder request = request(path);
        for (int index = 0; index < headers.length; index += 2) {
            request.header(headers[index], headers[index + 1]);
        }
        String json = body.replace('\'', '"');
        return mClient.sendAsync(
                request.POST(HttpRequest.BodyPublishers.ofString(json)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    JsonNode postJson(String path, String body) throws Exception {
        return mMapper.readTree(post(path, body).body());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create(mBaseUrl + path));
    }
}
