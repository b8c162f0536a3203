package org.ibisstand.fakes;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.settings.JsonReader;

/**
 * A stand-in for a plain service that counts every execution of every call.
 *
 * <p>{@code GET /executions} shows the counts and {@code POST /admin/faults} sets faults; all else
 * is executed.
 */
public final class FakeService implements AutoCloseable {
    private static final int OK = 200;

    private final FakeHttpServer mServer;
    private final JsonMapper mMapper = JsonMapper.builder().build();
    private final JsonReader mReader = JsonReader.create();
    private final Map<String, Integer> mExecutionsOfKey = new TreeMap<>();
    private FakeServiceFaults mFaults = FakeServiceFaults.none();
    private int mExecutions;

    private FakeService(FakeHttpServer server) {
        mServer = server;
    }

    /**
     * Starts a service.
     *
     * @param host the IP number to bind
     * @param port the TCP port; zero takes any free port
     * @throws IbisstandException with PORT_IN_USE if the address cannot be bound
     */
    public static FakeService start(String host, int port) {
        FakeHttpServer server = FakeHttpServer.create();
        FakeService service = new FakeService(server);
        server.listen(host, port, service::handle);
        return service;
    }

    /** Returns the port that the service listens on. */
    public int port() {
        return mServer.port();
    }

    /**
     * Sets what goes wrong from now on.
     *
     * @param faults replaces all faults set before
     */
    public void setFaults(FakeServiceFaults faults) {
        mServer.loop().submit(() -> mFaults = faults).syncUninterruptibly();
    }

    /**
     * Returns how often calls with an idempotency key were executed.
     *
     * @param key the value of the header
     */
    public int executionsOf(String key) {
        return mServer.loop()
                .submit(() -> mExecutionsOfKey.getOrDefault(key, 0))
                .syncUninterruptibly()
                .getNow();
    }

    /** Returns how many calls were executed. */
    public int executions() {
        return mServer.loop().submit(() -> mExecutions).syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        mServer.close();
    }

    private void handle(HttpExchange exchange) {
        switch (exchange.method() + " " + exchange.path()) {
            case "GET /executions" -> respond(exchange, page());
            case "POST /admin/faults" -> {
                mFaults = readFaults(exchange);
                respond(exchange, page());
            }
            default -> execute(exchange);
        }
    }

    private FakeServiceFaults readFaults(HttpExchange exchange) {
        return mReader.read(exchange.body(), FakeServiceFaults.class, ErrorCode.REQUEST_MALFORMED);
    }

    private void execute(HttpExchange exchange) {
        mExecutions++;
        Optional<String> key = exchange.header("Idempotency-Key");
        ObjectNode answer = mMapper.createObjectNode();
        answer.put("execution", mExecutions)
                .put("method", exchange.method())
                .put("path", exchange.path())
                .put("body_bytes", exchange.body().length);
        key.ifPresent(
                value -> {
                    int count = mExecutionsOfKey.merge(value, 1, Integer::sum);
                    answer.put("key", value).put("executions_of_key", count);
                });
        finish(exchange, answer);
    }

    private void finish(HttpExchange exchange, ObjectNode answer) {
        if (mFaults.closeAfterExecution()) {
            exchange.abort();
            return;
        }
        mServer.loop()
                .schedule(
                        () -> respond(exchange, answer),
                        mFaults.delayMilliseconds(),
                        TimeUnit.MILLISECONDS);
    }

    private ObjectNode page() {
        ObjectNode page = mMapper.createObjectNode().put("total", mExecutions);
        ObjectNode byKey = page.putObject("by_key");
        mExecutionsOfKey.forEach(byKey::put);
        return page;
    }

    private static void respond(HttpExchange exchange, ObjectNode body) {
        exchange.respondText(OK, HttpExchange.JSON, body.toString());
    }
}
