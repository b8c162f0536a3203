package org.ibisstand.operator;

import org.ibisstand.settings.Model;

/** Sets the values of one model. */
public final class ModelBuilder {
    private static final int PIECE_BYTES = 8192;

    private final String mName;
    private String mWeightsVersion = "1";
    private String mPriorityClass = "default";
    private int mPieceBytes = PIECE_BYTES;

    ModelBuilder(String name) {
        mName = name;
    }

    /** Sets the version of the weights in force. */
    public ModelBuilder weightsVersion(String version) {
        mWeightsVersion = version;
        return this;
    }

    /** Sets the class of requests that name none; {@code default} unless set. */
    public ModelBuilder priorityClass(String name) {
        mPriorityClass = name;
        return this;
    }

    /** Sets the bytes of prompt in one piece of cache knowledge, as the engines keep them. */
    public ModelBuilder pieceBytes(int bytes) {
        mPieceBytes = bytes;
        return this;
    }

    Model build() {
        return new Model(mName, mWeightsVersion, mPriorityClass, mPieceBytes);
    }
}
