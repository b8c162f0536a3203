package org.ibisstand.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.ibisstand.control.message.BeginLoad;
import org.ibisstand.control.message.EndLoad;
import org.ibisstand.control.message.Load;
import org.ibisstand.control.message.LoadResult;
import org.ibisstand.control.message.LoadState;

/**
 * The weight loads in progress, each with its fencing number. A load takes one of a limited number
 * of slots before its order is sent, and frees it once its end is known. A crash between order and
 * reply therefore neither leaks the slot nor lets more loads start than there are slots.
 */
final class WeightLoads {
    private final Map<String, Load> mLoads = new LinkedHashMap<>();
    private long mLastFencingNumber;

    Collection<Load> inProgress() {
        return new ArrayList<>(mLoads.values());
    }

    /**
     * Begins a load, or renews the load of the same agent under a higher fencing number, so that
     * the agent refuses orders of an earlier leader from then on. The result has no fencing number
     * if no slot is free.
     */
    LoadResult begin(BeginLoad command, long nowMilliseconds) {
        mLoads.values().removeIf(load -> load.getTimeoutAtMilliseconds() <= nowMilliseconds);
        boolean isRenewal = mLoads.containsKey(command.getAgent());
        if (!isRenewal && mLoads.size() >= command.getMaximumLoads()) {
            return LoadResult.getDefaultInstance();
        }
        mLastFencingNumber++;
        mLoads.put(
                command.getAgent(),
                Load.newBuilder()
                        .setFencingNumber(mLastFencingNumber)
                        .setAgent(command.getAgent())
                        .setBoot(command.getBoot())
                        .setModel(command.getModel())
                        .setWeightsVersion(command.getWeightsVersion())
                        .setTimeoutAtMilliseconds(
                                nowMilliseconds + command.getTimeoutMilliseconds())
                        .build());
        return LoadResult.newBuilder().setFencingNumber(mLastFencingNumber).build();
    }

    /**
     * Frees the slot of a load; changes nothing if the load was renewed under another fencing
     * number.
     */
    LoadResult end(EndLoad command) {
        Optional<Load> matching =
                mLoads.values().stream()
                        .filter(load -> load.getFencingNumber() == command.getFencingNumber())
                        .findFirst();
        if (matching.isEmpty()) {
            return LoadResult.getDefaultInstance();
        }
        mLoads.remove(matching.get().getAgent());
        return LoadResult.newBuilder().setFencingNumber(command.getFencingNumber()).build();
    }

    LoadState snapshot() {
        return LoadState.newBuilder()
                .setLastFencingNumber(mLastFencingNumber)
                .addAllLoads(mLoads.values())
                .build();
    }

    static WeightLoads restore(LoadState state) {
        WeightLoads loads = new WeightLoads();
        loads.mLastFencingNumber = state.getLastFencingNumber();
        for (Load load : state.getLoadsList()) {
            loads.mLoads.put(load.getAgent(), load);
        }
        return loads;
    }
}
