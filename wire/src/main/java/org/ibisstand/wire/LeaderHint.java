package org.ibisstand.wire;

/** Carries the address of the leader inside the refusal of a member that does not lead. */
final class LeaderHint extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String mAddress;

    LeaderHint(String address) {
        super("the leader is at " + address, null, false, false);
        mAddress = address;
    }

    String address() {
        return mAddress;
    }
}
