package org.ibisstand.gateway.limits;

import java.util.List;
import java.util.Optional;

/** Chooses which member of control to ask: the one that answered last, or was named as leader. */
final class LeaderChoice {
    private Optional<String> mMember = Optional.empty();
    private int mRefusals;

    /** Returns the member to ask; empty if none is known. */
    Optional<String> choose(List<String> members) {
        if (mMember.filter(members::contains).isEmpty()) {
            mMember = members.stream().findFirst();
        }
        return mMember;
    }

    /** Notes that the chosen member answered. */
    void answered() {
        mRefusals = 0;
    }

    /** Notes that the chosen member did not answer in time. */
    void silent(List<String> members) {
        mMember = next(members);
    }

    /**
     * Notes that the chosen member cannot answer.
     *
     * @param members all members
     * @param leader the member that it named
     * @return whether to ask the next one at once; false once as many refused in a row as there are
     *     members, of which none leads at the moment or all name each other
     */
    boolean refused(List<String> members, Optional<String> leader) {
        Optional<String> named =
                leader.filter(members::contains).filter(name -> !name.equals(mMember.orElse("")));
        mMember = named.or(() -> next(members));
        mRefusals++;
        if (mRefusals < members.size()) {
            return true;
        }
        mRefusals = 0;
        return false;
    }

    private Optional<String> next(List<String> members) {
        if (members.isEmpty()) {
            return Optional.empty();
        }
        int index = mMember.map(members::indexOf).orElse(-1);
        return Optional.of(members.get((index + 1) % members.size()));
    }
}
