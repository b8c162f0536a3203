import java.nio.file.Path;
import java.util.List;

/**
 * Three members of control, of which one may lose its disk. Two of them are replaced as planned:
 * both successors start first, and the old members are stopped later, one after the other. Long
 * after that the third member loses its disk right after an acknowledgement. Checks that the
 * configuration that was acknowledged can be read.
 */
final class PlannedReplacements {
    private static final List<Integer> FIRST_MEMBERS = List.of(11, 12, 13);
    private static final List<Integer> REPLACED = List.of(11, 12);
    private static final List<Integer> SUCCESSORS = List.of(14, 15);
    private static final List<Integer> LAST_MEMBERS = List.of(13, 14, 15);
    private static final int LOST = 13;

    private static final String CONFIGURATION =
            "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
                    + "\"path_prefix\":\"/a/\",\"type\":\"safe\",\"timeout_ms\":%d,\"slo_ms\":200,"
                    + "\"priority\":1,\"service\":\"s-1\",\"max_attempts\":2,\"public\":true,"
                    + "\"sticky\":false,\"resumable\":false,\"gap_target_ms\":0}],"
                    + "\"services\":[{\"name\":\"s-1\",\"health_path\":\"/health\","
                    + "\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

    /** Traffic starts 15 s after the machines do. */
    private static final long LEAD_MILLISECONDS = 15_000;

    /** catch_up_s is 4; the rest is margin. */
    private static final long CATCH_UP_MILLISECONDS = 5_000;

    /** After a removal: grace_s of 8, catch_up_s of 4, and contact_ms of 3,000. */
    private static final long CALM_MILLISECONDS = 16_000;

    private static final int RECOVER_SECONDS = 12;
    private static final int READ_BACK_SECONDS = 36;

    private PlannedReplacements() {}

    public static void main(String[] arguments) throws Exception {
        String trouble = System.getenv("TROUBLE");
        boolean isReplaced = !"0".equals(trouble) && !"disk".equals(trouble);
        boolean isDiskLost = !"0".equals(trouble) && !"replace".equals(trouble);
        int exit;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]), FIRST_MEMBERS)) {
            exit = run(deployment, isReplaced, isDiskLost);
            deployment.note("exit " + exit);
            deployment.writeRecord();
        }
        System.exit(exit);
    }

    private static int run(Deployment deployment, boolean isReplaced, boolean isDiskLost)
            throws Exception {
        for (int member : FIRST_MEMBERS) {
            deployment.start(deployment.add("control", member, true, false));
        }
        Thread.sleep(LEAD_MILLISECONDS);
        String first = CONFIGURATION.formatted(7, 1000);
        String second = CONFIGURATION.formatted(12, 1100);
        if (!deployment.order(FIRST_MEMBERS, "/api/Config.Put", first, "version 7", 10)) {
            return 2;
        }
        if (isReplaced) {
            replaceTwo(deployment);
        }
        List<Integer> members = isReplaced ? LAST_MEMBERS : FIRST_MEMBERS;
        if (!deployment.order(members, "/api/Config.Put", second, "version 12", 5)) {
            return 2;
        }
        if (isDiskLost) {
            Deployment.Node lost = deployment.node("control-" + LOST);
            deployment.kill(lost);
            deployment.wipe(lost);
            Thread.sleep(1_000);
            deployment.start(lost);
        }
        deployment.note("all machines are back");
        boolean isRead = readBack(deployment, members, second);
        for (int member : members) {
            deployment.noteLog(deployment.node("control-" + member), "event=voters_changed", 3);
            deployment.noteLog(deployment.node("control-" + member), "event=log_status", 1);
        }
        return isRead ? 0 : 1;
    }

    private static void replaceTwo(Deployment deployment) throws Exception {
        for (int member : SUCCESSORS) {
            Deployment.Node successor = deployment.add("control", member, true, false);
            successor.mIsAdded = true;
            deployment.start(successor);
            Thread.sleep(CATCH_UP_MILLISECONDS);
            deployment.note("control-" + member + " has had its time");
        }
        for (int member : REPLACED) {
            deployment.terminate(deployment.node("control-" + member));
            deployment.setSeeds(LAST_MEMBERS);
            Thread.sleep(CALM_MILLISECONDS);
        }
        deployment.note("both are removed, and no machine is lost");
    }

    private static boolean readBack(
            Deployment deployment, List<Integer> members, String expected)
            throws InterruptedException {
        long start = System.nanoTime();
        int round = 0;
        while (System.nanoTime() - start < READ_BACK_SECONDS * 1_000_000_000L) {
            StringBuilder statuses = new StringBuilder();
            for (int member : members) {
                Deployment.Answer answer = deployment.call(member, "GET", "/api/Config.Get", "");
                statuses.append(' ').append(answer.status());
                if (answer.status() == 200) {
                    boolean isExpected = answer.body().equals(expected);
                    deployment.note("read back:" + statuses + ", as acknowledged: " + isExpected);
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
