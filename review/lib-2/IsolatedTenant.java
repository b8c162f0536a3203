import java.nio.file.Path;
import java.util.List;

/**
 * A configuration makes a tenant isolated. Checks that no request of another tenant uses KV cache
 * that a request of this tenant made, from config_ms after the acknowledgement on.
 */
final class IsolatedTenant {
    private static final List<Integer> MEMBERS = List.of(11, 12, 13);
    private static final int GATEWAY = 11;
    private static final int SIDE = 101;
    private static final long CONFIG_MILLISECONDS = 2_000;

    private static final String CONFIGURATION =
            "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
                    + "\"path_prefix\":\"/a/\",\"type\":\"streaming\",\"timeout_ms\":5000,"
                    + "\"slo_ms\":500,\"priority\":1,\"service\":\"s-1\",\"max_attempts\":2,"
                    + "\"public\":false,\"sticky\":true,\"resumable\":true,"
                    + "\"gap_target_ms\":400}],\"services\":[{\"name\":\"s-1\","
                    + "\"health_path\":\"/health\",\"max_connections\":640,\"protocol\":\"h1\","
                    + "\"tls\":false,\"engine\":{\"slots\":128,\"kv_capacity_tokens\":112318,"
                    + "\"kv_token_bytes\":96256,\"link_mbps\":1100000.0,\"moves\":true,"
                    + "\"backups\":true,\"stride\":5,\"max_inflight\":12,\"pin_ms\":4000.0,"
                    + "\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\""
                    + StandInReplica.MODEL
                    + "\"}]}}],\"limits\":{\"max_header_bytes\":16384,"
                    + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                    + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t-a\","
                    + "\"api_keys\":[\"key-a\"],\"priority\":1,\"isolated\":%b},"
                    + "{\"name\":\"t-b\",\"api_keys\":[\"key-b\"],\"priority\":1,"
                    + "\"isolated\":false}]}";

    private IsolatedTenant() {}

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]), MEMBERS)) {
            exit = run(deployment, hasTrouble);
            deployment.note("exit " + exit);
            deployment.writeRecord();
        }
        System.exit(exit);
    }

    private static int run(Deployment deployment, boolean hasTrouble) throws Exception {
        for (int member : MEMBERS) {
            deployment.start(deployment.add("control", member, true, false));
            deployment.start(deployment.add("gateway", member, false, false));
        }
        Client client = new Client(deployment);
        try (StandInReplica engine =
                new StandInReplica(deployment, MEMBERS, SIDE, "s-1", true)) {
            deployment.start(deployment.add("agent", SIDE, false, true));
            Thread.sleep(6_000);
            boolean isOrdered =
                    deployment.order(
                            MEMBERS,
                            "/api/Config.Put",
                            CONFIGURATION.formatted(7, false),
                            "version 7, t-a not isolated,",
                            10);
            if (!isOrdered || !client.awaitReady(GATEWAY, 10)) {
                return 2;
            }
            Thread.sleep(3_000);
            if (send(deployment, client, "1", "key-a") != 200) {
                return 2;
            }
            boolean isChanged =
                    deployment.order(
                            MEMBERS,
                            "/api/Config.Put",
                            CONFIGURATION.formatted(12, hasTrouble),
                            "version 12, t-a isolated: " + hasTrouble + ",",
                            10);
            if (!isChanged) {
                return 2;
            }
            Thread.sleep(CONFIG_MILLISECONDS + 1_000);
            int before = engine.uses().size();
            if (send(deployment, client, "2", "key-b") != 200) {
                return 2;
            }
            if (send(deployment, client, "3", "key-a") != 200) {
                return 2;
            }
            List<StandInReplica.Use> uses = engine.uses().subList(before, engine.uses().size());
            uses.forEach(use -> deployment.note("used across tenants: " + use));
            // Without the change no tenant is isolated, and parts may be shared.
            return hasTrouble && !uses.isEmpty() ? 1 : 0;
        }
    }

    private static int send(Deployment deployment, Client client, String request, String key) {
        String headers =
                "Host: a.example\r\nIbisstand-Request-Id: request-" + request
                        + "\r\nIbisstand-Model: " + StandInReplica.MODEL
                        + "\r\nIbisstand-Token-Usage: 1460,3\r\nIbisstand-Prompt-Prefix: "
                        + "5c1e07a2:800,91bd3f06:410,e4402b7" + request + ":250"
                        + "\r\nIbisstand-Deadline: 5000\r\nAuthorization: Bearer " + key + "\r\n";
        int status =
                client.send(GATEWAY, Deployment.FRONT_PORT, "POST", "/a/1", headers, "prompt");
        deployment.note("request-" + request + " with " + key + ": " + status);
        return status;
    }
}
