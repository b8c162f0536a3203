package org.ibisstand.control;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import org.ibisstand.base.Digests;
import org.ibisstand.control.message.ChangeConfiguration;
import org.ibisstand.control.message.ConfigurationResult;
import org.ibisstand.control.message.ConfigurationState;
import org.ibisstand.control.message.RememberedChange;

/** The configuration in force, and the results of the last changes, which resends get again. */
final class ConfigurationHistory {
    static final int MAXIMUM_REMEMBERED_CHANGES = 1024;

    private final LinkedHashMap<String, RememberedChange> mChanges = new LinkedHashMap<>();
    private long mRevision;
    private ByteString mJson = ByteString.EMPTY;

    long revision() {
        return mRevision;
    }

    ByteString json() {
        return mJson;
    }

    /**
     * Applies a change if it expects the revision in force. A resend gets the result of the first
     * attempt, so that an operator who did not receive the answer can safely send the change again.
     */
    ConfigurationResult apply(ChangeConfiguration change) {
        ByteString digest = digestOf(change);
        RememberedChange remembered = mChanges.get(change.getChange());
        if (remembered != null) {
            return remembered.getDigest().equals(digest)
                    ? remembered.getResult()
                    : result(ConfigurationResult.Result.CHANGE_REUSED);
        }
        ConfigurationResult result = decide(change);
        remember(change.getChange(), digest, result);
        return result;
    }

    private ConfigurationResult decide(ChangeConfiguration change) {
        if (change.getExpectedRevision() == mRevision) {
            mRevision++;
            mJson = change.getJson();
            return result(ConfigurationResult.Result.ACCEPTED);
        }
        boolean expectsPreviousRevision = change.getExpectedRevision() + 1 == mRevision;
        if (expectsPreviousRevision && change.getJson().equals(mJson)) {
            return result(ConfigurationResult.Result.ACCEPTED);
        }
        return result(ConfigurationResult.Result.CONFLICT);
    }

    private void remember(String name, ByteString digest, ConfigurationResult result) {
        mChanges.put(
                name,
                RememberedChange.newBuilder()
                        .setChange(name)
                        .setDigest(digest)
                        .setResult(result)
                        .build());
        if (mChanges.size() > MAXIMUM_REMEMBERED_CHANGES) {
            mChanges.pollFirstEntry();
        }
    }

    private ConfigurationResult result(ConfigurationResult.Result result) {
        return ConfigurationResult.newBuilder().setResult(result).setRevision(mRevision).build();
    }

    private static ByteString digestOf(ChangeConfiguration change) {
        byte[] revision =
                ByteBuffer.allocate(Long.BYTES).putLong(change.getExpectedRevision()).array();
        return ByteString.copyFrom(Digests.sha256(revision, change.getJson().toByteArray()));
    }

    ConfigurationState snapshot() {
        return ConfigurationState.newBuilder()
                .setRevision(mRevision)
                .setJson(mJson)
                .addAllChanges(mChanges.values())
                .build();
    }

    static ConfigurationHistory restore(ConfigurationState state) {
        ConfigurationHistory history = new ConfigurationHistory();
        history.mRevision = state.getRevision();
        history.mJson = state.getJson();
        for (RememberedChange change : state.getChangesList()) {
            history.mChanges.put(change.getChange(), change);
        }
        return history;
    }
}
