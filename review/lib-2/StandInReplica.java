import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A replica, with a KV cache if it serves a model. Announces itself to control, answers each
 * request that names it, and notes who made the cached parts that a request uses.
 */
final class StandInReplica implements AutoCloseable {
    static final String MODEL = "daka510000";

    private static final long HEARTBEAT_MILLISECONDS = 1_200;

    private final Deployment mDeployment;
    private final List<Integer> mControl;
    private final String mIdentifier;
    private final String mService;
    private final String mAddress;
    private final boolean mIsEngine;
    private final long mBorn = System.currentTimeMillis();
    private final AtomicLong mSequence = new AtomicLong();
    private final HttpServer mServer;
    private final Map<String, String> mMakers = new HashMap<>();
    private final List<Use> mUses = new ArrayList<>();
    private volatile boolean mEnded;

    /** A request that used cached parts which another tenant's request had made. */
    record Use(String request, String tenant, String maker, String part) {}

    StandInReplica(
            Deployment deployment,
            List<Integer> control,
            int host,
            String service,
            boolean isEngine)
            throws IOException {
        mDeployment = deployment;
        mControl = control;
        mIdentifier = "i-" + service + "-" + host;
        mService = service;
        mIsEngine = isEngine;
        mAddress = deployment.host(host) + ":" + Deployment.ENGINE_PORT;
        mServer =
                HttpServer.create(
                        new InetSocketAddress(deployment.host(host), Deployment.ENGINE_PORT), 64);
        mServer.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        mServer.createContext("/", this::serve);
        mServer.start();
        Thread.ofVirtual().start(this::announce);
    }

    /** Returns the uses of parts that requests of other tenants had made. */
    synchronized List<Use> uses() {
        return List.copyOf(mUses);
    }

    private void announce() {
        int turn = 0;
        while (!mEnded) {
            boolean isAcknowledged = false;
            for (int attempt = 0; attempt < mControl.size() && !isAcknowledged; attempt++) {
                int host = mControl.get(turn % mControl.size());
                String path = "/api/Instances.Heartbeat/" + mIdentifier;
                isAcknowledged =
                        mDeployment.call(host, "POST", path, announcement()).status() == 200;
                turn += isAcknowledged ? 0 : 1;
            }
            try {
                Thread.sleep(HEARTBEAT_MILLISECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private String announcement() {
        String models = mIsEngine ? ",\"stage\":\"unified\",\"models\":" + models() : "";
        return "{\"service\":\"" + mService + "\",\"address\":\"" + mAddress
                + "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":128,\"state\":\"ready\","
                + "\"cold_remaining_ms\":0,\"sequence\":" + mSequence.incrementAndGet()
                + ",\"born\":" + mBorn + models + "}";
    }

    private static String models() {
        return "[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[]}]";
    }

    private void serve(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/api/report")) {
            respond(
                    exchange,
                    200,
                    "{\"stage\":\"unified\",\"models\":" + models() + ",\"busy\":false,"
                            + "\"sequence\":0,\"queued\":0,\"active\":0,\"kv_used\":0,"
                            + "\"kv_total\":112318,\"handles\":0,\"born\":" + mBorn + "}");
        } else if (path.equals("/api/kv-events")) {
            pause(900);
            respond(
                    exchange,
                    200,
                    "{\"boot_epoch\":1,\"next\":0,\"lost\":false,\"events\":[]}");
        } else if (path.equals("/health")) {
            exchange.getResponseHeaders().set("Ibisstand-Instance-Id", mIdentifier);
            respond(exchange, 200, "");
        } else {
            serveRequest(exchange, body.length);
        }
    }

    private static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serveRequest(HttpExchange exchange, int bodyBytes) throws IOException {
        String request = header(exchange, "Ibisstand-Request-Id");
        exchange.getResponseHeaders().set("Ibisstand-Request-Id", request);
        if (!header(exchange, "Ibisstand-Expect-Instance").equals(mIdentifier)) {
            exchange.getResponseHeaders().set("Ibisstand-Not-Executed", "1");
            respond(exchange, 421, "");
            return;
        }
        exchange.getResponseHeaders().set("Ibisstand-Response-Signature", "s." + request);
        if (!mIsEngine) {
            mDeployment.note(mIdentifier + " runs " + request);
            respond(exchange, 200, "answer to " + request);
            return;
        }
        readPrompt(exchange, request, bodyBytes);
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.getResponseHeaders().set("Ibisstand-Weight-Versions", "1");
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream output = exchange.getResponseBody()) {
            for (int event = 1; event <= 3; event++) {
                String text = "id: " + event + "\ndata: token\n\n";
                output.write(text.getBytes(StandardCharsets.UTF_8));
                output.flush();
                pause(20);
            }
        }
    }

    /**
     * Reads the parts of a prompt: one is used from the cache if it and all before it are kept for
     * the same model under the same salt; the others are made.
     */
    private synchronized void readPrompt(HttpExchange exchange, String request, int bodyBytes) {
        String tenant = header(exchange, "Ibisstand-Tenant");
        String scope =
                header(exchange, "Ibisstand-Cache-Salt") + "|" + header(exchange, "Ibisstand-Model");
        boolean isKept = true;
        String chain = "";
        for (String part : header(exchange, "Ibisstand-Prompt-Prefix").split(",")) {
            chain += "/" + part.split(":")[0];
            String maker = mMakers.get(scope + chain);
            isKept &= maker != null;
            if (!isKept) {
                mMakers.put(scope + chain, tenant);
                mDeployment.note(mIdentifier + ": " + request + " of " + tenant + " makes " + part
                        + " under the salt " + header(exchange, "Ibisstand-Cache-Salt"));
            } else {
                mDeployment.note(mIdentifier + ": " + request + " of " + tenant + " uses " + part
                        + ", made by a request of " + maker + ", under the salt "
                        + header(exchange, "Ibisstand-Cache-Salt"));
                if (!maker.equals(tenant)) {
                    mUses.add(new Use(request, tenant, maker, part));
                }
            }
        }
    }

    private static String header(HttpExchange exchange, String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    private static void respond(HttpExchange exchange, int status, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }

    @Override
    public void close() {
        mEnded = true;
        mServer.stop(0);
    }
}
