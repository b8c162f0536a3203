package org.ibisstand.control;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.TreeMap;
import org.ibisstand.control.message.NameWeights;
import org.ibisstand.control.message.PutRouting;
import org.ibisstand.control.message.RoutingResult;
import org.ibisstand.control.message.RoutingState;

/**
 * The routing configuration of the highest version, and the weights that are named for each model;
 * part of the replicated state.
 */
final class RoutingHistory {
    private long mVersion;
    private ByteString mJson;
    private ByteString mSource;
    private final Map<String, Long> mWeights = new TreeMap<>();

    private RoutingHistory(RoutingState state) {
        mVersion = state.getVersion();
        mJson = state.getJson();
        mSource = state.getSource();
        state.getWeightsList().forEach(named -> mWeights.put(named.getModel(), named.getVersion()));
    }

    static RoutingHistory restore(RoutingState state) {
        return new RoutingHistory(state);
    }

    /** Takes a configuration if its version is the highest so far. */
    RoutingResult put(PutRouting put) {
        if (put.getVersion() > mVersion) {
            mVersion = put.getVersion();
            mJson = put.getJson();
            mSource = put.getSource();
        }
        return RoutingResult.newBuilder().setVersion(mVersion).build();
    }

    /** Takes the weights if their version is the highest of the model so far. */
    RoutingResult name(NameWeights named) {
        mWeights.merge(named.getModel(), named.getVersion(), Math::max);
        return RoutingResult.newBuilder().setVersion(mWeights.get(named.getModel())).build();
    }

    /** Returns the version in force; zero before the first. */
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

    /** Returns the newest named version of each model's weights. */
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
