import java.nio.file.Path;
import java.util.List;

/**
 * Six members of control, of which two may lose their disks. Three are dark for some seconds, one
 * of them returns before the others; then two lose their disks right after an acknowledgement.
 * Checks that the configuration that was acknowledged can be read once all are back.
 */
final class CoreLosses {
    private static final List<Integer> MEMBERS = List.of(11, 12, 13, 14, 15, 16);

    private static final String CONFIGURATION =
            "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
                    + "\"path_prefix\":\"/a/\",\"type\":\"safe\",\"timeout_ms\":%d,\"slo_ms\":200,"
                    + "\"priority\":1,\"service\":\"s-1\",\"max_attempts\":2,\"public\":true,"
                    + "\"sticky\":false,\"resumable\":false,\"gap_target_ms\":0}],"
                    + "\"services\":[{\"name\":\"s-1\",\"health_path\":\"/health\","
                    + "\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

    /** Traffic starts 19 s after the machines do. */
    private static final long LEAD_MILLISECONDS = 19_000;

    private static final int RECOVER_SECONDS = 15;

    /** How long the configuration is read back, from the moment at which all machines are back. */
    private static final int READ_BACK_SECONDS = 50;

    private CoreLosses() {}

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit;
        try (Deployment deployment =
                new Deployment(Path.of(arguments[0]), MEMBERS.subList(0, 3))) {
            exit = run(deployment, hasTrouble);
            deployment.note("exit " + exit);
            deployment.writeRecord();
        }
        System.exit(exit);
    }

    private static int run(Deployment deployment, boolean hasTrouble) throws Exception {
        for (int member : MEMBERS) {
            deployment.start(deployment.add("control", member, true, false));
        }
        Thread.sleep(LEAD_MILLISECONDS);
        String first = CONFIGURATION.formatted(7, 1000);
        String second = CONFIGURATION.formatted(12, 1100);
        if (!deployment.order(MEMBERS, "/api/Config.Put", first, "version 7", 10)) {
            return 2;
        }
        Deployment.Node a = deployment.node("control-11");
        Deployment.Node b = deployment.node("control-12");
        Deployment.Node c = deployment.node("control-13");
        Deployment.Node d = deployment.node("control-14");
        Deployment.Node e = deployment.node("control-15");
        if (hasTrouble) {
            deployment.kill(b);
            Thread.sleep(3_500);
            deployment.kill(d);
            deployment.kill(e);
            Thread.sleep(300);
            deployment.start(b);
            Thread.sleep(4_200);
        }
        if (!deployment.order(MEMBERS, "/api/Config.Put", second, "version 12", 5)) {
            deployment.note("version 12 has no acknowledgement");
        }
        if (hasTrouble) {
            deployment.kill(a);
            deployment.kill(c);
            deployment.wipe(a);
            deployment.wipe(c);
            deployment.start(d);
            deployment.start(e);
            Thread.sleep(1_000);
            deployment.start(a);
            deployment.start(c);
        }
        deployment.note("all machines are back");
        boolean isRead = readBack(deployment, second);
        for (int member : MEMBERS) {
            deployment.noteLog(deployment.node("control-" + member), "event=voters_changed", 3);
            deployment.noteLog(deployment.node("control-" + member), "event=log_status", 1);
        }
        return isRead ? 0 : 1;
    }

    private static boolean readBack(Deployment deployment, String expected)
            throws InterruptedException {
        long start = System.nanoTime();
        int round = 0;
        while (System.nanoTime() - start < READ_BACK_SECONDS * 1_000_000_000L) {
            StringBuilder statuses = new StringBuilder();
            for (int member : MEMBERS) {
                Deployment.Answer answer = deployment.call(member, "GET", "/api/Config.Get", "");
                statuses.append(' ').append(answer.status());
                if (answer.status() == 200) {
                    boolean isExpected = answer.body().equals(expected);
                    deployment.note("read back: " + statuses + ", as acknowledged: " + isExpected);
                    return isExpected;
                }
            }
            if (round++ % 5 == 0) {
                deployment.note("read back:" + statuses);
            }
            Thread.sleep(500);
        }
        deployment.note(
                "no answer for " + READ_BACK_SECONDS + " s; recover_s is " + RECOVER_SECONDS);
        return false;
    }
}
