package org.ibisstand.settings;

import java.util.List;
import java.util.Optional;

/**
 * The settings of one control member.
 *
 * @param member the name of the member, unique among members of all time
 * @param zone the availability zone that the VM stands in
 * @param wire where all other processes connect
 * @param administration where operators connect
 * @param dataFolder the folder of the log and the snapshots
 * @param members the members that the group starts with; the log decides later ones
 * @param join whether this member joins a group that runs already, instead of starting one
 * @param firstStart whether the group starts for the first time; a member that joins it then
 *     replaces no other one, so the group keeps enough voters for one member more
 * @param limits how much the member keeps
 * @param timing how long the member waits
 */
public record ControlSettings(
        @Form(TextForm.NAME) String member,
        @Form(TextForm.NAME) String zone,
        WireListen wire,
        Administration administration,
        @Form(TextForm.FOLDER) String dataFolder,
        @Range(from = 1, to = 7) List<Member> members,
        boolean join,
        boolean firstStart,
        Limits limits,
        Timing timing) {
    /** Copies the list, so that settings never change. */
    public ControlSettings {
        members = List.copyOf(members);
    }

    /** Returns the address of a member of the settings. */
    public Optional<Address> addressOf(String name) {
        return members.stream()
                .filter(one -> one.member().equals(name))
                .map(Member::address)
                .findFirst();
    }

    /**
     * A member of the group.
     *
     * @param member the name of the member
     * @param address the wire address of the member
     */
    public record Member(@Form(TextForm.NAME) String member, Address address) {}

    /**
     * How much the member keeps.
     *
     * @param maximumClaims how many claims of non-idempotent requests are kept
     * @param maximumConfigurationBytes the largest configuration in bytes
     * @param snapshotAfterEntries after how many log entries a snapshot is taken
     * @param concurrentWeightLoads how many engines load weights at once
     */
    public record Limits(
            @Range(from = 100, to = 10000000) int maximumClaims,
            @Range(from = 1024, to = 67108864) int maximumConfigurationBytes,
            @Range(from = 1, to = 10000000) int snapshotAfterEntries,
            @Range(from = 1, to = 64) int concurrentWeightLoads) {}

    /**
     * How long the member waits, in milliseconds.
     *
     * @param electionTimeoutMilliseconds without a leader until an election starts; elections draw
     *     a random time between one and two of it
     * @param heartbeatMilliseconds between heartbeats of the leader and between connections
     * @param keyRetentionMilliseconds for which the outcome of an idempotency key is kept
     * @param greatestLeaseMilliseconds that an agent is granted
     * @param announcementMilliseconds between the announcements of a backend server
     * @param replacementSilenceMilliseconds after which a member that does not answer may lose its
     *     place; zero if only operators remove members
     */
    public record Timing(
            @Range(from = 50, to = 60000) long electionTimeoutMilliseconds,
            @Range(from = 10, to = 60000) long heartbeatMilliseconds,
            @Range(from = 1000, to = 2678400000L) long keyRetentionMilliseconds,
            @Range(from = 500, to = 600000) long greatestLeaseMilliseconds,
            @Range(from = 100, to = 60000) long announcementMilliseconds,
            @Range(from = 0, to = 3600000) long replacementSilenceMilliseconds) {}
}
