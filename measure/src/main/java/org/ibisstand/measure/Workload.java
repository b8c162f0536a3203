package org.ibisstand.measure;

/**
 * The shape of a customer's traffic; pieces are those of the prefix cache.
 *
 * @param name the name in reports
 * @param longPerSecond requests with long shared prompts
 * @param shortPerSecond requests with short shared prompts
 * @param lookupsPerSecond idempotent calls to the plain service
 * @param ordersPerSecond calls to the plain service that may run only once
 * @param teamPieces the prefix that all prompts of a team share
 * @param documents the second levels of a team's long prompts
 * @param documentPieces the length of a second level
 * @param sections the third levels under each second level
 * @param sectionPieces the length of a third level
 * @param topics the second levels of a team's short prompts
 * @param topicPieces the length of these
 * @param stragglerShare the share of long requests that are many times longer
 * @param stragglerPieces the length that these have besides
 * @param longDeadline milliseconds to the first token of a long request
 * @param shortDeadline milliseconds to the first token of a short request
 * @param crossZoneMilliseconds one way between two availability zones
 */
record Workload(
        String name,
        double longPerSecond,
        double shortPerSecond,
        double lookupsPerSecond,
        double ordersPerSecond,
        int teamPieces,
        int documents,
        int documentPieces,
        int sections,
        int sectionPieces,
        int topics,
        int topicPieces,
        double stragglerShare,
        int stragglerPieces,
        double longDeadline,
        double shortDeadline,
        double crossZoneMilliseconds) {
    /** Supplier contracts in many versions beside lot summaries. */
    static Workload kernelta() {
        return new Workload(
                "kernelta", 1.1, 11, 55, 5, 2, 6, 6, 8, 6, 8, 2, 0.03, 40, 10_000, 1500, 1.2);
    }

    /** Few long handbooks with large stragglers beside many short questions. */
    static Workload kekhullam() {
        return new Workload(
                "kekhullam", 1.0, 14, 55, 5, 1, 3, 18, 4, 2, 4, 2, 0.06, 50, 10_000, 1000, 0.7);
    }
}
