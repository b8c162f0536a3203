package org.ibisstand.control;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.LogLine;
import org.ibisstand.base.LoggedTask;
import org.ibisstand.fleet.MemberList;
import org.ibisstand.settings.Address;
import org.ibisstand.wire.Failures;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireServer;
import org.ibisstand.wire.WireSettings;
import org.ibisstand.wire.message.Frame;

/**
 * Tells other processes which members control has, on a VM without a disk, which can hold no log.
 * Such a process may be among the seeds of others, and the only one of them that is there.
 */
public final class MemberDirectory implements AutoCloseable {
    private static final long TICK_MILLISECONDS = 500;

    private final EventLoop mControlThread;
    private final FleetPeers mPeers;
    private final MemberExchange mMembers;
    private final WireServer mServer;
    private final Future<?> mTicks;
    private final Map<WireConnection, Watcher> mWatchers = new HashMap<>();
    private volatile List<String> mReachable = List.of();

    private MemberDirectory(
            WireContext wire,
            EventLoop controlThread,
            Clock clock,
            Address listen,
            Collection<String> seeds) {
        mControlThread = controlThread;
        mPeers = new FleetPeers(wire, controlThread, List::of, this::receive);
        mMembers =
                new MemberExchange(mPeers, () -> MemberList.NONE, listen.toString(), seeds, clock);
        // Peers that lost this process call again at once, so the server comes last.
        mServer =
                WireServer.start(
                        wire, new InetSocketAddress(listen.host(), listen.port()), new Requests());
        mTicks =
                controlThread.scheduleWithFixedDelay(
                        LoggedTask.of("tell_members", this::tick),
                        0,
                        TICK_MILLISECONDS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Starts a directory that knows only its seeds.
     *
     * @param process the name of the process
     * @param group the event loops for its connections; the directory does not shut it down
     * @param clock a monotonic clock
     * @param listen where other processes connect; port zero takes any free port
     * @param seeds wire addresses of some processes of control
     */
    public static MemberDirectory start(
            String process,
            EventLoopGroup group,
            Clock clock,
            Address listen,
            Collection<String> seeds) {
        WireContext wire =
                new WireContext(
                        group,
                        WireSettings.standard(),
                        process,
                        "control",
                        BootIdentifier.create(),
                        new SecureRandom());
        MemberDirectory directory = new MemberDirectory(wire, group.next(), clock, listen, seeds);
        LogLine.info("directory_started").with("seeds", seeds).write();
        return directory;
    }

    /** Replaces the seeds. */
    public void follow(Collection<String> seeds) {
        mControlThread.execute(() -> mMembers.follow(seeds));
    }

    /**
     * Returns the wire addresses of the members that can be reached, or of all known ones if none
     * can; may be called on any thread.
     */
    public List<String> members() {
        return mReachable;
    }

    @Override
    public void close() {
        mServer.close();
        mTicks.cancel(false);
        mControlThread.execute(mPeers::close);
    }

    private void receive(WireConnection connection, Frame frame) {
        switch (frame.getBodyCase()) {
            case MEMBER_NOTICE -> {
                mMembers.receive(connection, frame.getMemberNotice());
                tellWatchers();
            }
            case FLEET_WATCH -> {
                mWatchers.put(connection, new Watcher(frame.getCorrelation(), Set.of()));
                tellWatchers();
            }
            // Members forward these to all that they know, and nobody waits for an answer.
            case SERVER_NOTICE, ENGINE_NOTICES, JOIN_REQUEST, CONSENSUS -> {}
            default ->
                    connection.send(
                            frame.getCorrelation(),
                            Failures.notLeader(
                                    "this process is no member of control", Optional.empty()));
        }
    }

    private void tick() {
        mMembers.tick();
        Set<String> connected = mPeers.connectedMembers();
        Set<String> members = connected.isEmpty() ? mMembers.known().addresses() : connected;
        mReachable = members.stream().sorted().toList();
        tellWatchers();
    }

    /** Tells the watchers of the members that they have not been told of. */
    private void tellWatchers() {
        MemberList known = mMembers.known();
        mWatchers.replaceAll(
                (connection, watcher) -> {
                    if (watcher.told().equals(known.addresses()) || !connection.isWritable()) {
                        return watcher;
                    }
                    connection.send(watcher.correlation(), known.toFrame());
                    return new Watcher(watcher.correlation(), known.addresses());
                });
    }

    /** A process that follows the members, and those that it was told of. */
    private record Watcher(long correlation, Set<String> told) {}

    private final class Requests implements FrameHandler {
        @Override
        public void received(WireConnection connection, Frame frame) {
            mControlThread.execute(() -> receive(connection, frame));
        }

        @Override
        public void closed(WireConnection connection) {
            mControlThread.execute(() -> mWatchers.remove(connection));
        }
    }
}
