package org.ibisstand.control;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.TreeMap;
import org.ibisstand.control.message.NameWeights;
import org.ibisstand.control.message.PutRouting;
import org.ibisstand.control.message.RoutingResult;
import org.ibisstand.control.message.RoutingState;

/**
 * The routing configuration of the highest version, and the weights version to load for each model;
 * part of the replicated state.
 */
final class CurrentRouting {
    private long mVersion;
    private ByteString mJson;
    private ByteString mSource;
    private final Map<String, Long> mWeights = new TreeMap<>();

    private CurrentRouting(RoutingState state) {
        mVersion = state.getVersion();
        mJson = state.getJson();
        mSource = state.getSource();
        state.getWeightsList()
                .forEach(weights -> mWeights.put(weights.getModel(), weights.getVersion()));
    }

    static CurrentRouting restore(RoutingState state) {
        return new CurrentRouting(state);
    }

    /** Applies a configuration if its version is higher than any before. */
    RoutingResult put(PutRouting command) {
        if (command.getVersion() > mVersion) {
            mVersion = command.getVersion();
            mJson = command.getJson();
            mSource = command.getSource();
        }
        return RoutingResult.newBuilder().setVersion(mVersion).build();
    }

    /** Sets the weights version of a model if it is higher than any before. */
    RoutingResult nameWeights(NameWeights command) {
        mWeights.merge(command.getModel(), command.getVersion(), Math::max);
        return RoutingResult.newBuilder().setVersion(mWeights.get(command.getModel())).build();
    }

    /** Returns the version in force; zero before the first configuration. */
    long version() {
        return mVersion;
    }

    ByteString json() {
        return mJson;
    }

    /** Returns the document that the operator sent for the version in force. */
    ByteString source() {
        return mSource;
    }

    /** Returns the newest weights version of each model. */
    Map<String, Long> weights() {
        return mWeights;
    }

    RoutingState snapshot() {
        RoutingState.Builder state =
                RoutingState.newBuilder().setVersion(mVersion).setJson(mJson).setSource(mSource);
        mWeights.forEach(
                (model, version) ->
                        state.addWeights(
                                NameWeights.newBuilder().setModel(model).setVersion(version)));
        return state.build();
    }
}
