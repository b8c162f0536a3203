import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Five members of control with disks, of which two may be lost, and one process of control on a
 * machine without a disk. The seeds change; then all members lose power, two of them their disks,
 * while the gateways run on. A later configuration drops a route. Checks that no gateway serves it
 * any more.
 */
final class StaleGateways {
    private static final List<Integer> MEMBERS = List.of(11, 12, 13, 14, 15);
    private static final List<Integer> FIRST_SEEDS = List.of(11, 12, 13);
    private static final int DISKLESS = 21;
    private static final List<Integer> OTHER_SEEDS = List.of(14, 15, DISKLESS);
    private static final List<Integer> CONTROL = List.of(11, 12, 13, 14, 15, DISKLESS);
    private static final List<Integer> GATEWAYS = List.of(DISKLESS, 22);
    private static final int SERVER = 201;
    private static final long LEAD_MILLISECONDS = 19_000;

    /** recover_s is 15 on this site, contact_ms 5,000 and config_ms 3,000. */
    private static final long RECOVER_MILLISECONDS = 16_000;

    private static final long CONFIG_MILLISECONDS = 6_000;
    private static final int REQUESTS = 20;

    private static final String CONFIGURATION =
            "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
                    + "\"path_prefix\":\"/%s/\",\"type\":\"safe\",\"timeout_ms\":1000,"
                    + "\"slo_ms\":200,\"priority\":1,\"service\":\"s-1\",\"max_attempts\":2,"
                    + "\"public\":true,\"sticky\":false,\"resumable\":false,\"gap_target_ms\":0}],"
                    + "\"services\":[{\"name\":\"s-1\",\"health_path\":\"/health\","
                    + "\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

    private StaleGateways() {}

    public static void main(String[] arguments) throws Exception {
        String trouble = System.getenv("TROUBLE");
        int exit;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]), FIRST_SEEDS)) {
            exit = run(deployment, !"0".equals(trouble), !"power".equals(trouble));
            deployment.note("exit " + exit);
            deployment.writeRecord();
        }
        System.exit(exit);
    }

    private static int run(Deployment deployment, boolean hasTrouble, boolean hasTurnover)
            throws Exception {
        for (int member : MEMBERS) {
            deployment.start(deployment.add("control", member, true, false));
        }
        deployment.start(deployment.add("control", DISKLESS, false, false));
        for (int gateway : GATEWAYS) {
            deployment.start(deployment.add("gateway", gateway, false, false));
        }
        Client client = new Client(deployment);
        try (StandInReplica server =
                new StandInReplica(deployment, CONTROL, SERVER, "s-1", false)) {
            Thread.sleep(LEAD_MILLISECONDS);
            if (!put(deployment, 7, "a")) {
                return 2;
            }
            for (int gateway : GATEWAYS) {
                if (!client.awaitReady(gateway, 10)) {
                    return 2;
                }
            }
            Thread.sleep(2_000);
            if (hasTrouble && hasTurnover) {
                deployment.setSeeds(OTHER_SEEDS);
                Thread.sleep(4_000);
            }
            if (!put(deployment, 12, "a") || served(deployment, client, "before", "a") < 15) {
                return 2;
            }
            if (hasTrouble) {
                losePower(deployment);
            }
            Thread.sleep(RECOVER_MILLISECONDS);
            if (!put(deployment, 20, "b")) {
                return 2;
            }
            Thread.sleep(CONFIG_MILLISECONDS);
            int onOldRoute = served(deployment, client, "old", "a");
            served(deployment, client, "new", "b");
            for (int gateway : GATEWAYS) {
                deployment.note("gateway-" + gateway + " is ready: " + client.isReady(gateway));
            }
            return onOldRoute > 0 ? 1 : 0;
        }
    }

    /** All members lose power, two of them also their disks; those two are back first. */
    private static void losePower(Deployment deployment) throws Exception {
        List<Deployment.Node> others = new ArrayList<>();
        for (int member : MEMBERS) {
            Deployment.Node node = deployment.node("control-" + member);
            deployment.kill(node);
            if (!OTHER_SEEDS.contains(member)) {
                others.add(node);
            }
        }
        deployment.wipe(deployment.node("control-14"));
        deployment.wipe(deployment.node("control-15"));
        deployment.start(deployment.node("control-14"));
        deployment.start(deployment.node("control-15"));
        Thread.sleep(1_500);
        for (Deployment.Node node : others) {
            deployment.start(node);
        }
        deployment.note("all machines are back");
    }

    private static boolean put(Deployment deployment, int version, String path)
            throws InterruptedException {
        return deployment.order(
                CONTROL,
                "/api/Config.Put",
                CONFIGURATION.formatted(version, path),
                "version " + version + " with the route /" + path + "/",
                10);
    }

    private static int served(Deployment deployment, Client client, String when, String path)
            throws InterruptedException {
        int served = 0;
        StringBuilder statuses = new StringBuilder();
        for (int request = 0; request < REQUESTS; request++) {
            int gateway = GATEWAYS.get(request % GATEWAYS.size());
            String headers =
                    "Host: a.example\r\nIbisstand-Request-Id: " + when + "-" + request
                            + "\r\nIbisstand-Deadline: 1000\r\n";
            int status =
                    client.send(
                            gateway, Deployment.FRONT_PORT, "GET", "/" + path + "/1", headers, "");
            statuses.append(' ').append(status);
            served += status == 200 ? 1 : 0;
            Thread.sleep(100);
        }
        deployment.note("requests on /" + path + "/:" + statuses + "; served " + served);
        return served;
    }
}
