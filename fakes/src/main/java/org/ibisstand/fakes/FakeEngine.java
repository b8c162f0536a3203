package org.ibisstand.fakes;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.settings.JsonReader;

/**
 * A stand-in for a model engine that speaks the published HTTP forms.
 *
 * <p>It serves {@code /v1/chat/completions}, {@code /v1/completions}, {@code /v1/models}, {@code
 * /metrics}, {@code /health}, {@code /events?from=N}, {@code /events/snapshot}, {@code POST
 * /admin/load}, {@code POST /admin/faults} and {@code /admin/state}. All state is confined to the
 * thread of its server.
 */
public final class FakeEngine implements AutoCloseable {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final String BOOT_HEADER = "X-Engine-Boot";

    private final FakeHttpServer mServer;
    private final FakeEngineOptions mOptions;
    private final Clock mClock;
    private final JsonMapper mMapper = JsonMapper.builder().build();
    private final JsonReader mReader = JsonReader.create();
    private EngineBoot mBoot;

    private FakeEngine(FakeHttpServer server, FakeEngineOptions options, Clock clock) {
        mServer = server;
        mOptions = options;
        mClock = clock;
        mBoot = newBoot(FakeEngineFaults.none());
    }

    /**
     * Starts an engine.
     *
     * @param options how it behaves
     * @param clock dates the answers
     * @throws IbisstandException with PORT_IN_USE if the address cannot be bound
     */
    public static FakeEngine start(FakeEngineOptions options, Clock clock) {
        FakeHttpServer server = FakeHttpServer.create();
        FakeEngine engine = new FakeEngine(server, options, clock);
        server.listen(options.host(), options.port(), engine::handle);
        return engine;
    }

    /** Returns the port that the engine listens on. */
    public int port() {
        return mServer.port();
    }

    /** Returns the URL that an agent appends paths to. */
    public String baseUrl() {
        return "http://" + mOptions.host() + ":" + port();
    }

    /**
     * Sets what goes wrong from now on.
     *
     * @param faults replaces all faults set before
     */
    public void setFaults(FakeEngineFaults faults) {
        mServer.loop().submit(() -> mBoot.scheduler().setFaults(faults)).syncUninterruptibly();
    }

    /** Returns whether a request is being answered. */
    public boolean isGenerating() {
        return mServer.loop()
                .submit(() -> mBoot.scheduler().counts().running() > 0)
                .syncUninterruptibly()
                .getNow();
    }

    /** Closes all connections and comes back with an empty cache and a new boot. */
    public void crash() {
        mServer.loop().submit(this::reboot).syncUninterruptibly();
    }

    @Override
    public void close() {
        mServer.close();
    }

    private void reboot() {
        mBoot.scheduler().abandonAll();
        mServer.closeConnections();
        mBoot = newBoot(FakeEngineFaults.none());
    }

    private EngineBoot newBoot(FakeEngineFaults faults) {
        return EngineBoot.start(mServer.loop(), mOptions, faults, this::reboot);
    }

    private void handle(HttpExchange exchange) {
        exchange.addHeader(BOOT_HEADER, mBoot.identifier().toString());
        try {
            dispatch(exchange);
        } catch (IbisstandException e) {
            respondError(exchange, BAD_REQUEST, e.getMessage());
        }
    }

    private void dispatch(HttpExchange exchange) {
        switch (exchange.method() + " " + exchange.path()) {
            case "POST /v1/chat/completions" -> complete(exchange, true);
            case "POST /v1/completions" -> complete(exchange, false);
            case "GET /v1/models" -> respond(exchange, EnginePages.models(mBoot));
            case "GET /health" -> respond(exchange, EnginePages.health(mBoot));
            case "GET /metrics" ->
                    exchange.respondText(OK, "text/plain; version=0.0.4", EnginePages.load(mBoot));
            case "GET /events" -> streamEvents(exchange);
            case "GET /events/snapshot" -> respond(exchange, EnginePages.snapshot(mBoot));
            case "POST /admin/load" -> load(exchange);
            case "POST /admin/faults" -> changeFaults(exchange);
            case "GET /admin/state" -> respond(exchange, EnginePages.state(mBoot));
            default -> respondError(exchange, NOT_FOUND, "unknown path " + exchange.path());
        }
    }

    private void complete(HttpExchange exchange, boolean chat) {
        CompletionRequest request = CompletionRequest.read(chat, parse(exchange.body()));
        Optional<String> version = mBoot.loader().versionOf(request.model());
        if (version.isEmpty()) {
            respondError(exchange, NOT_FOUND, "model '" + request.model() + "' is not loaded");
            return;
        }
        var chain = request.chain(mOptions.pieceBytes());
        List<String> tokens =
                FakeAnswer.tokens(
                        request.prompt(), request.model(), version.get(), request.tokens());
        CompletionWriter writer =
                new CompletionWriter(
                        exchange,
                        request,
                        version.get(),
                        mOptions.pieceBytes(),
                        chain.promptBytes(),
                        mClock);
        EngineJob job = new EngineJob(chain, request.priority(), tokens, writer);
        EngineScheduler scheduler = mBoot.scheduler();
        exchange.onClosed(() -> scheduler.cancel(job));
        scheduler.submit(job);
    }

    private void streamEvents(HttpExchange exchange) {
        long from = exchange.parameter("from").map(Long::parseLong).orElse(0L);
        EventJournal journal = mBoot.journal();
        exchange.startStream("application/x-ndjson");
        exchange.write(EnginePages.eventsHead(mBoot) + "\n");
        Consumer<EventJournal.Event> subscriber =
                event -> exchange.write(EnginePages.event(event) + "\n");
        var alive =
                mServer.loop()
                        .scheduleAtFixedRate(
                                () -> exchange.write(EnginePages.alive(journal) + "\n"),
                                1,
                                1,
                                TimeUnit.SECONDS);
        exchange.onClosed(
                () -> {
                    alive.cancel(false);
                    journal.unsubscribe(subscriber);
                });
        journal.subscribe(from, subscriber);
    }

    private void load(HttpExchange exchange) {
        WeightLoader.Order order =
                mReader.read(
                        exchange.body(), WeightLoader.Order.class, ErrorCode.REQUEST_MALFORMED);
        EngineBoot boot = mBoot;
        if (!boot.loader().accept(order)) {
            respondError(exchange, CONFLICT, "a newer fencing number was accepted");
            return;
        }
        mServer.loop()
                .schedule(
                        () -> finishLoad(exchange, boot, order),
                        mOptions.loadMilliseconds(),
                        TimeUnit.MILLISECONDS);
    }

    private void finishLoad(HttpExchange exchange, EngineBoot boot, WeightLoader.Order order) {
        boot.finishLoad(order);
        respond(exchange, EnginePages.health(boot));
    }

    private void changeFaults(HttpExchange exchange) {
        FakeEngineFaults faults =
                mReader.read(exchange.body(), FakeEngineFaults.class, ErrorCode.REQUEST_MALFORMED);
        mBoot.scheduler().setFaults(faults);
        respond(exchange, EnginePages.state(mBoot));
    }

    private JsonNode parse(byte[] body) {
        try {
            return mMapper.readTree(body);
        } catch (JacksonException e) {
            throw new IbisstandException(ErrorCode.REQUEST_MALFORMED, e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new IbisstandException(ErrorCode.REQUEST_MALFORMED, "unreadable", e);
        }
    }

    private void respond(HttpExchange exchange, ObjectNode body) {
        exchange.respondText(OK, HttpExchange.JSON, body.toString());
    }

    private void respondError(HttpExchange exchange, int status, String message) {
        ObjectNode body = mMapper.createObjectNode();
        body.putObject("error").put("message", message).put("type", "invalid_request_error");
        exchange.respondText(status, HttpExchange.JSON, body.toString());
    }
}
