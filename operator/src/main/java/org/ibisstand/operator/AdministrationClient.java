package org.ibisstand.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.settings.Address;

/**
 * Speaks to the administration ports of processes.
 *
 * <p>Requests to control go to one member after another until one answers that can decide; a change
 * carries an identifier, so that a resend gets the first result. Each request uses a new
 * connection: answers name no request, so on a kept one a second copy of an earlier answer could be
 * taken for the result of a change.
 */
public final class AdministrationClient implements AutoCloseable {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final long PAUSE_MILLISECONDS = 200;
    private static final int ROUNDS = 25;
    private static final int OK = 200;

    private final AsyncHttpClient mClient;
    private final List<Address> mAddresses;
    private final String mToken;
    private final JsonMapper mMapper = JsonMapper.builder().build();

    private AdministrationClient(AsyncHttpClient client, List<Address> addresses, String token) {
        mClient = client;
        mAddresses = List.copyOf(addresses);
        mToken = token;
    }

    /**
     * Returns a client.
     *
     * @param addresses the administration addresses of one process or of all control members
     * @param token the operators' token
     */
    public static AdministrationClient create(List<Address> addresses, String token) {
        AsyncHttpClient client =
                Dsl.asyncHttpClient(
                        Dsl.config()
                                .setIoThreadsCount(1)
                                .setUseNativeTransport(false)
                                .setKeepAlive(false)
                                .setConnectTimeout(CONNECT_TIMEOUT)
                                .setRequestTimeout(REQUEST_TIMEOUT)
                                .setMaxRequestRetry(0));
        return new AdministrationClient(client, addresses, token);
    }

    /** Returns the state dump of the process as JSON. */
    public JsonNode state() {
        return send("GET", "/state", List.of(), new byte[0]);
    }

    /** Returns the configuration in force with its revision. */
    public JsonNode configuration() {
        return send("GET", "/configuration", List.of(), new byte[0]);
    }

    /** Returns which process has which revision in force. */
    public JsonNode configurationStatus() {
        return send("GET", "/configuration/status", List.of(), new byte[0]);
    }

    /**
     * Puts a configuration in force.
     *
     * @param json the whole configuration
     * @param expectedRevision the revision that it was made from
     * @param change names this change, so that a resend is not a second change
     * @return the new revision
     * @throws IbisstandException with CONFIGURATION_CONFLICT if another change came first
     */
    public JsonNode applyConfiguration(byte[] json, long expectedRevision, String change) {
        return send(
                "POST",
                "/configuration",
                List.of(
                        new Parameter("expected_revision", Long.toString(expectedRevision)),
                        new Parameter("change", change)),
                json);
    }

    /** Returns the members of control with their roles. */
    public JsonNode members() {
        return send("GET", "/members", List.of(), new byte[0]);
    }

    /**
     * Adds a member to control; it votes once it has caught up.
     *
     * @param name the name of the member
     * @param address the wire address of the member
     */
    public JsonNode addMember(String name, Address address) {
        return send(
                "POST",
                "/members",
                List.of(
                        new Parameter("member", name),
                        new Parameter("address", address.toString())),
                new byte[0]);
    }

    /**
     * Removes a member from control.
     *
     * @param name the name of the member
     */
    public JsonNode removeMember(String name) {
        return send("DELETE", "/members", List.of(new Parameter("member", name)), new byte[0]);
    }

    @Override
    public void close() {
        try {
            mClient.close();
        } catch (IOException e) {
            throw new IbisstandException(ErrorCode.INTERNAL, "cannot close the client", e);
        }
    }

    private JsonNode send(String method, String path, List<Parameter> query, byte[] body) {
        IbisstandException last = new IbisstandException(ErrorCode.USAGE, "no address is given");
        for (int round = 0; round < ROUNDS; round++) {
            for (Address address : mAddresses) {
                try {
                    return parse(sendOnce(address, method, path, query, body));
                } catch (IbisstandException e) {
                    if (!isWorthAnotherTry(e.code())) {
                        throw e;
                    }
                    last = e;
                }
            }
            pause();
        }
        throw last;
    }

    private static boolean isWorthAnotherTry(ErrorCode code) {
        return switch (code) {
            case NOT_LEADER, NO_QUORUM, CONNECTION_LOST -> true;
            default -> false;
        };
    }

    private Response sendOnce(
            Address address, String method, String path, List<Parameter> query, byte[] body) {
        RequestBuilder request =
                new RequestBuilder(method)
                        .setUrl("http://" + address + path)
                        .setHeader("Authorization", "Bearer " + mToken)
                        .setBody(body);
        query.forEach(one -> request.addQueryParam(one.name(), one.value()));
        return await(address, request.build());
    }

    private Response await(Address address, Request request) {
        try {
            return mClient.executeRequest(request).toCompletableFuture().join();
        } catch (CompletionException e) {
            throw new IbisstandException(
                    ErrorCode.CONNECTION_LOST,
                    "no answer from " + address + ": " + e.getCause().getMessage(),
                    e);
        }
    }

    private JsonNode parse(Response response) {
        JsonNode body = readTree(response);
        if (response.getStatusCode() == OK) {
            return body;
        }
        JsonNode error = body.path("error");
        throw new IbisstandException(
                codeOf(error).orElse(ErrorCode.INTERNAL),
                error.path("message").asText("status " + response.getStatusCode()));
    }

    private JsonNode readTree(Response response) {
        try {
            return mMapper.readTree(response.getResponseBodyAsBytes());
        } catch (IOException e) {
            throw new IbisstandException(
                    ErrorCode.INTERNAL, "the answer is not JSON; is this the right port?", e);
        }
    }

    private static Optional<ErrorCode> codeOf(JsonNode error) {
        try {
            return Optional.of(ErrorCode.valueOf(error.path("code").asText()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static void pause() {
        Executor later =
                CompletableFuture.delayedExecutor(PAUSE_MILLISECONDS, TimeUnit.MILLISECONDS);
        CompletableFuture.runAsync(() -> {}, later).join();
    }

    private record Parameter(String name, String value) {}
}
