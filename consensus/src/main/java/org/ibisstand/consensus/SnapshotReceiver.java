package org.ibisstand.consensus;

import java.io.ByteArrayOutputStream;

/** Reassembles a snapshot from its parts. */
final class SnapshotReceiver {
    private long mIndex;
    private long mTerm;
    private int mTotalBytes;
    private ByteArrayOutputStream mReceived = new ByteArrayOutputStream();

    /**
     * Adds a part if it is the next one of its snapshot; a part of another snapshot starts over.
     *
     * @return the first byte that is still missing
     */
    int addChunk(Message.SnapshotChunk chunk) {
        if (!isSameSnapshot(chunk)) {
            mIndex = chunk.index();
            mTerm = chunk.term();
            mTotalBytes = chunk.totalBytes();
            mReceived = new ByteArrayOutputStream();
        }
        if (chunk.offset() == mReceived.size()) {
            mReceived.writeBytes(chunk.data());
        }
        return mReceived.size();
    }

    /** Decodes the snapshot whose last part has arrived. */
    Snapshot finish(Message.SnapshotChunk chunk) {
        byte[] encoded = mReceived.toByteArray();
        mIndex = 0;
        mReceived = new ByteArrayOutputStream();
        return ContentCodec.decode(chunk.index(), chunk.indexTerm(), encoded);
    }

    /** Another leader's snapshot at the same index may be encoded differently. */
    private boolean isSameSnapshot(Message.SnapshotChunk chunk) {
        return mIndex == chunk.index()
                && mTerm == chunk.term()
                && mTotalBytes == chunk.totalBytes();
    }
}
