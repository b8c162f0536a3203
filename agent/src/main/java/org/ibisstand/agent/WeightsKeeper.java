package org.ibisstand.agent;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.ibisstand.base.LogLine;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.wire.message.ServerRecord;

/**
 * Brings the engine beside this agent to the newest named weights; on the agent's control thread.
 *
 * <p>Every order builds on the number of orders that the engine has accepted, so that a delayed one
 * is not carried out after a newer one. Weights that are overtaken before their turn are skipped.
 */
final class WeightsKeeper {
    /** The longest wait for an engine's answer before it is asked again. */
    private static final Duration PATIENCE = Duration.ofSeconds(2);

    private final EngineOffice mOffice;
    private final String mAddress;
    private final Clock mClock;
    private final Executor mControlThread;
    private final Map<String, Long> mNamed = new HashMap<>();
    private final Map<String, Instant> mNamedAt = new HashMap<>();
    private List<ServerRecord> mServers = List.of();
    private Optional<Instant> mAskedAt = Optional.empty();
    private boolean mIsReachable = true;

    /**
     * Creates a keeper.
     *
     * @param office speaks to the engine
     * @param address where the engine takes requests, which tells its record from others
     * @param clock must not jump
     * @param controlThread the thread of this keeper
     */
    WeightsKeeper(EngineOffice office, String address, Clock clock, Executor controlThread) {
        mOffice = office;
        mAddress = address;
        mClock = clock;
        mControlThread = controlThread;
    }

    /** Takes what control tells. */
    void update(FleetState state) {
        mServers = state.servers();
        state.weights()
                .forEach(
                        (model, version) -> {
                            if (version > mNamed.getOrDefault(model, 0L)) {
                                mNamed.put(model, version);
                                mNamedAt.put(model, mClock.instant());
                                LogLine.info("weights_named")
                                        .with("model", model)
                                        .with("version", version)
                                        .write();
                            }
                        });
    }

    /** Asks the engine for its status, unless an answer is still due. */
    void tick() {
        Instant now = mClock.instant();
        boolean isWaiting = mAskedAt.filter(at -> at.plus(PATIENCE).isAfter(now)).isPresent();
        if (isWaiting || mNamed.isEmpty()) {
            return;
        }
        mAskedAt = Optional.of(now);
        mOffice.status().whenCompleteAsync(this::answered, mControlThread);
    }

    private void answered(EngineStatus status, Throwable failure) {
        mAskedAt = Optional.empty();
        if ((failure == null) != mIsReachable) {
            mIsReachable = failure == null;
            LogLine.info(mIsReachable ? "engine_reached" : "engine_lost")
                    .with("address", mAddress)
                    .with("reason", failure == null ? "" : failure.getMessage())
                    .write();
        }
        if (failure == null && !status.loading()) {
            mNamed.keySet().stream()
                    .filter(model -> isDue(model, status))
                    .findFirst()
                    .ifPresent(model -> order(model, status));
        }
    }

    private boolean isDue(String model, EngineStatus status) {
        Long loaded = status.weights().get(model);
        if (loaded == null || loaded >= mNamed.get(model)) {
            return false;
        }
        Optional<ServerRecord> self =
                mServers.stream().filter(one -> one.getAddress().equals(mAddress)).findFirst();
        if (self.isEmpty()) {
            return true;
        }
        List<String> engines =
                mServers.stream()
                        .filter(one -> one.getService().equals(self.get().getService()))
                        .map(ServerRecord::getServer)
                        .toList();
        Duration delay = LoadTurn.delay(self.get().getServer(), engines);
        return !mNamedAt.get(model).plus(delay).isAfter(mClock.instant());
    }

    private void order(String model, EngineStatus status) {
        long version = mNamed.get(model);
        mAskedAt = Optional.of(mClock.instant());
        mOffice.load(model, version, status.sequence())
                .whenCompleteAsync(
                        (accepted, failure) -> ordered(model, version, accepted, failure),
                        mControlThread);
    }

    private void ordered(String model, long version, Boolean accepted, Throwable failure) {
        mAskedAt = Optional.empty();
        LogLine.info("weights_ordered")
                .with("model", model)
                .with("version", version)
                .with("accepted", failure == null && accepted)
                .with("reason", failure == null ? "" : failure.getMessage())
                .write();
    }
}
