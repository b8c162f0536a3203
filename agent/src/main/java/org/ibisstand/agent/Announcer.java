package org.ibisstand.agent;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.LoggedTask;
import org.ibisstand.settings.AgentSettings;
import org.ibisstand.settings.BackendServer;
import org.ibisstand.wire.ControlClient;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.AgentRecord;
import org.ibisstand.wire.message.Announce;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.ServedModel;
import org.tinylog.Logger;

/**
 * Announces the agent and its models or services to control, several times per lease.
 *
 * <p>For the control thread only.
 */
final class Announcer {
    private static final int ANNOUNCEMENTS_PER_LEASE = 3;
    private static final Duration ANNOUNCE_TIMEOUT = Duration.ofSeconds(3);

    private final AgentSettings mSettings;
    private final BootIdentifier mBoot;
    private final String mAddress;
    private final ControlClient mControl;
    private final ScheduledExecutorService mControlThread;
    private final BackendHealth mHealth;
    private final Map<String, String> mModels = new TreeMap<>();
    private boolean mLeaving;
    private boolean mAnnounced;

    Announcer(AgentRuntime runtime, String address, ControlClient control, BackendHealth health) {
        mSettings = runtime.settings();
        mBoot = runtime.boot();
        mAddress = address;
        mControl = control;
        mControlThread = runtime.controlThread();
        mHealth = health;
        if (mSettings.backend() instanceof BackendServer.Engine engine) {
            engine.models().forEach(model -> mModels.put(model.model(), model.weightsVersion()));
        }
    }

    void start() {
        mHealth.setChangeListener(this::announce);
        long lease = mSettings.timing().leaseMilliseconds();
        mControlThread.scheduleAtFixedRate(
                LoggedTask.of("announce", this::announce),
                0,
                lease / ANNOUNCEMENTS_PER_LEASE,
                TimeUnit.MILLISECONDS);
    }

    void onModelLoaded(String model, String weightsVersion) {
        mModels.put(model, weightsVersion);
        announce();
    }

    void announceLeaving() {
        mLeaving = true;
        announce();
    }

    boolean isLeaving() {
        return mLeaving;
    }

    boolean isAnnounced() {
        return mAnnounced;
    }

    Map<String, String> models() {
        return Map.copyOf(mModels);
    }

    /** Announces the agent to every member, so that a new leader knows the agent immediately. */
    void announce() {
        Announce announce = Announce.newBuilder().setAgent(record()).build();
        List<CompletableFuture<Boolean>> replies =
                mControl.connections().stream()
                        .map(member -> announceTo(member, announce))
                        .toList();
        CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
                .thenRunAsync(
                        () -> onAnnounceReplies(replies.stream().anyMatch(CompletableFuture::join)),
                        mControlThread);
    }

    /** Returns whether the member accepted the announcement, as only the leader does. */
    private static CompletableFuture<Boolean> announceTo(WireConnection member, Announce announce) {
        return member.call(Frame.newBuilder().setAnnounce(announce), ANNOUNCE_TIMEOUT)
                .handle((reply, failure) -> failure == null);
    }

    private void onAnnounceReplies(boolean succeeded) {
        if (succeeded != mAnnounced) {
            Logger.info("event=announced success={} agent={}", succeeded, mSettings.agent());
        }
        mAnnounced = succeeded;
    }

    private AgentRecord record() {
        AgentRecord.Builder record =
                AgentRecord.newBuilder()
                        .setAgent(mSettings.agent())
                        .setAddress(mAddress)
                        .setBoot(mBoot.value())
                        .setZone(mSettings.zone())
                        .setLeaving(mLeaving)
                        .setLeaseMilliseconds(mSettings.timing().leaseMilliseconds());
        if (mHealth.isDown()) {
            // Without models and services the agent stays registered, but receives no requests.
            return record.build();
        }
        mModels.forEach(
                (model, version) ->
                        record.addModels(
                                ServedModel.newBuilder()
                                        .setModel(model)
                                        .setWeightsVersion(version)));
        record.addAllServices(services());
        return record.build();
    }

    private List<String> services() {
        return switch (mSettings.backend()) {
            case BackendServer.Engine engine -> List.of();
            case BackendServer.PlainService service -> service.services();
        };
    }
}
