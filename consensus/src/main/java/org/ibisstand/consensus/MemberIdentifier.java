package org.ibisstand.consensus;

/**
 * Identifies a member together with its disk. A member whose disk was lost rejoins under another
 * identifier, since it no longer has its votes and entries.
 *
 * @param value the member's name, a dot, and the identity of its data folder
 */
public record MemberIdentifier(String value) implements Comparable<MemberIdentifier> {
    /**
     * Joins a name from the settings with the identity of the data folder.
     *
     * @param name the member's name
     * @param folderIdentity the number that was drawn when the folder was first used
     */
    public static MemberIdentifier of(String name, long folderIdentity) {
        return new MemberIdentifier(name + "." + Long.toHexString(folderIdentity));
    }

    /** Returns the member's name, which stays the same when its disk is replaced. */
    public String name() {
        int dot = value.lastIndexOf('.');
        return dot < 0 ? value : value.substring(0, dot);
    }

    @Override
    public int compareTo(MemberIdentifier other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
