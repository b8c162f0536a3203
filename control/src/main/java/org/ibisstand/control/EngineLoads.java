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
 * The weight loads in progress, each under its fencing number. A load holds one of few places from
 * before its order is sent until its end is known, so that a crash between order and answer can
 * neither lose the place nor let a third load start.
 */
final class EngineLoads {
    private final Map<String, Load> mLoads = new LinkedHashMap<>();
    private long mLastFencingNumber;

    Collection<Load> inProgress() {
        return new ArrayList<>(mLoads.values());
    }

    /**
     * Begins a load, or renews one of the same agent under a higher number: what an earlier leader
     * ordered for that agent is refused from then on.
     */
    LoadResult begin(BeginLoad order, long nowMilliseconds) {
        mLoads.values().removeIf(load -> load.getTimeoutAtMilliseconds() <= nowMilliseconds);
        boolean renewed = mLoads.containsKey(order.getAgent());
        if (!renewed && mLoads.size() >= order.getMaximumLoads()) {
            return LoadResult.getDefaultInstance();
        }
        mLastFencingNumber++;
        mLoads.put(
                order.getAgent(),
                Load.newBuilder()
                        .setFencingNumber(mLastFencingNumber)
                        .setAgent(order.getAgent())
                        .setBoot(order.getBoot())
                        .setModel(order.getModel())
                        .setWeightsVersion(order.getWeightsVersion())
                        .setTimeoutAtMilliseconds(nowMilliseconds + order.getTimeoutMilliseconds())
                        .build());
        return LoadResult.newBuilder().setFencingNumber(mLastFencingNumber).build();
    }

    /** Frees the place of a load; an end that names a renewed load changes nothing. */
    LoadResult end(EndLoad end) {
        Optional<Load> ended =
                mLoads.values().stream()
                        .filter(load -> load.getFencingNumber() == end.getFencingNumber())
                        .findFirst();
        if (ended.isEmpty()) {
            return LoadResult.getDefaultInstance();
        }
        mLoads.remove(ended.get().getAgent());
        return LoadResult.newBuilder().setFencingNumber(end.getFencingNumber()).build();
    }

    LoadState snapshot() {
        return LoadState.newBuilder()
                .setLastFencingNumber(mLastFencingNumber)
                .addAllLoads(mLoads.values())
                .build();
    }

    static EngineLoads restore(LoadState state) {
        EngineLoads loads = new EngineLoads();
        loads.mLastFencingNumber = state.getLastFencingNumber();
        for (Load load : state.getLoadsList()) {
            loads.mLoads.put(load.getAgent(), load);
        }
        return loads;
    }
}
