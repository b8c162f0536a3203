import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Five members of control with disks, of which two may be lost, and one process of control on a
 * machine without a disk. The seeds change; at the end all machines lose power and two members lose
 * their disks. Checks that requests are served again.
 */
final class SeedsLost {
    private static final List<Integer> MEMBERS = List.of(11, 12, 13, 14, 15);
    private static final List<Integer> FIRST_SEEDS = List.of(11, 12, 13);
    private static final int DISKLESS = 21;
    private static final List<Integer> OTHER_SEEDS = List.of(14, 15, DISKLESS);
    private static final List<Integer> CONTROL = List.of(11, 12, 13, 14, 15, DISKLESS);
    private static final List<Integer> GATEWAYS = List.of(11, DISKLESS);
    private static final int SERVER = 201;
    private static final long LEAD_MILLISECONDS = 19_000;
    private static final long RECOVER_MILLISECONDS = 15_000;
    private static final int REQUESTS = 24;

    private static final String CONFIGURATION =
            "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
                    + "\"path_prefix\":\"/a/\",\"type\":\"safe\",\"timeout_ms\":1000,\"slo_ms\":200,"
                    + "\"priority\":1,\"service\":\"s-1\",\"max_attempts\":2,\"public\":true,"
                    + "\"sticky\":false,\"resumable\":false,\"gap_target_ms\":0}],"
                    + "\"services\":[{\"name\":\"s-1\",\"health_path\":\"/health\","
                    + "\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

    private SeedsLost() {}

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
        List<Deployment.Node> nodes = new ArrayList<>();
        for (int member : MEMBERS) {
            nodes.add(deployment.add("control", member, true, false));
        }
        nodes.add(deployment.add("control", DISKLESS, false, false));
        for (int gateway : GATEWAYS) {
            nodes.add(deployment.add("gateway", gateway, false, false));
        }
        for (Deployment.Node node : nodes) {
            deployment.start(node);
        }
        Client client = new Client(deployment);
        try (StandInReplica server =
                new StandInReplica(deployment, CONTROL, SERVER, "s-1", false)) {
            Thread.sleep(LEAD_MILLISECONDS);
            if (!deployment.order(
                    CONTROL, "/api/Config.Put", CONFIGURATION.formatted(7), "version 7", 10)) {
                return 2;
            }
            for (int gateway : GATEWAYS) {
                if (!client.awaitReady(gateway, 10)) {
                    return 2;
                }
            }
            Thread.sleep(2_000);
            int servedBefore = served(deployment, client, "before", 20);
            if (servedBefore < 15) {
                return 2;
            }
            if (hasTrouble && hasTurnover) {
                deployment.setSeeds(OTHER_SEEDS);
                Thread.sleep(4_000);
            }
            if (!deployment.order(
                    CONTROL, "/api/Config.Put", CONFIGURATION.formatted(12), "version 12", 10)) {
                return 2;
            }
            if (hasTrouble) {
                losePower(deployment, nodes);
            }
            Thread.sleep(RECOVER_MILLISECONDS + 1_000);
            int served = served(deployment, client, "after", REQUESTS);
            for (int gateway : GATEWAYS) {
                deployment.note("gateway-" + gateway + " is ready: " + client.isReady(gateway));
            }
            for (int member : CONTROL) {
                int status = deployment.call(member, "GET", "/api/Config.Get", "").status();
                deployment.note("configuration read at control-" + member + ": " + status);
            }
            return served * 4 < REQUESTS ? 1 : 0;
        }
    }

    /** All machines lose power, two of the members also their disks; they are back after 0.8 s. */
    private static void losePower(Deployment deployment, List<Deployment.Node> nodes)
            throws Exception {
        for (Deployment.Node node : nodes) {
            deployment.kill(node);
        }
        deployment.wipe(deployment.node("control-14"));
        deployment.wipe(deployment.node("control-15"));
        Thread.sleep(500);
        for (Deployment.Node node : nodes) {
            deployment.start(node);
        }
        deployment.note("all machines are back");
    }

    /** Sends requests one after the other and returns how many were served. */
    private static int served(Deployment deployment, Client client, String when, int count)
            throws InterruptedException {
        int served = 0;
        StringBuilder statuses = new StringBuilder();
        for (int request = 0; request < count; request++) {
            int gateway = GATEWAYS.get(request % GATEWAYS.size());
            String headers =
                    "Host: a.example\r\nIbisstand-Request-Id: " + when + "-" + request
                            + "\r\nIbisstand-Deadline: 1000\r\n";
            int status = client.send(gateway, Deployment.FRONT_PORT, "GET", "/a/1", headers, "");
            statuses.append(' ').append(status);
            served += status == 200 ? 1 : 0;
            Thread.sleep(200);
        }
        deployment.note("requests " + when + ":" + statuses + "; served " + served);
        return served;
    }
}
