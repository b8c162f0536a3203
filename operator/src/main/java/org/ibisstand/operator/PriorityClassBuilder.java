package org.ibisstand.operator;

import java.time.Duration;
import org.ibisstand.settings.PriorityClass;

/** Sets the values of one priority class. */
public final class PriorityClassBuilder {
    private final String mName;
    private int mRank;
    private Duration mFirstToken = Duration.ofSeconds(1);
    private Duration mDeadline = Duration.ofSeconds(60);

    PriorityClassBuilder(String name) {
        mName = name;
    }

    /** Sets the order of service; a lower rank goes first, zero by default. */
    public PriorityClassBuilder rank(int rank) {
        mRank = rank;
        return this;
    }

    /** Sets the time to first token or first byte that the class aims at; a second by default. */
    public PriorityClassBuilder firstToken(Duration time) {
        mFirstToken = time;
        return this;
    }

    /** Sets the time after which an answer is worth nothing; a minute by default. */
    public PriorityClassBuilder deadline(Duration time) {
        mDeadline = time;
        return this;
    }

    PriorityClass build() {
        return new PriorityClass(mName, mRank, mFirstToken.toMillis(), mDeadline.toMillis());
    }
}
