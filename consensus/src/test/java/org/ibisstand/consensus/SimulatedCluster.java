package org.ibisstand.consensus;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.ibisstand.storage.OpenedLog;

/** Members with disks, joined by a network that drops, delays, repeats and reorders messages. */
final class SimulatedCluster {
    private static final Timing TIMING = new Timing(Duration.ofMillis(150), Duration.ofMillis(50));
    private static final int TICK_MILLIS = 30;

    final Random mRandom;
    final Map<MemberIdentifier, SimulatedMember> mMembers = new LinkedHashMap<>();
    final Set<MemberIdentifier> mLost = new HashSet<>();
    final Invariants mInvariants = new Invariants();

    final Target mTarget;

    private final SafetyRules mRules;
    private final Limits mLimits;
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final Set<Link> mBlocked = new HashSet<>();
    private final long mStartMillis = 1_000_000;
    private long mNowMillis = mStartMillis;
    private long mEventNumber;
    private long mTicket;
    private long mTrace;
    private boolean mLossy;

    SimulatedCluster(long seed, int size, SafetyRules rules) {
        mRandom = new Random(seed);
        mRules = rules;
        mTarget = Target.values()[mRandom.nextInt(Target.values().length)];
        int window = 1 + mRandom.nextInt(16);
        mLimits = new Limits(1 + mRandom.nextInt(4), 200, window, 64, mRandom.nextInt(6));
        List<Member> first = new ArrayList<>();
        for (int position = 0; position < size; position++) {
            MemberIdentifier identifier = newIdentifier();
            mMembers.put(identifier, new SimulatedMember(identifier));
            first.add(new Member(identifier, identifier.value(), true));
        }
        mMembers.values().forEach(this::start);
        SimulatedMember former = mMembers.get(first.getFirst().identifier());
        step(former, new Input.Form(Membership.of(first), former.state()));
    }

    MemberIdentifier newIdentifier() {
        return MemberIdentifier.of("member", mMembers.size() + 1);
    }

    /** Returns a number that differs between runs of different events. */
    long trace() {
        return mTrace;
    }

    long nowMillis() {
        return mNowMillis - mStartMillis;
    }

    void runUntil(long millis) {
        while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= mStartMillis + millis) {
            Event event = mEvents.poll();
            mNowMillis = event.atMillis();
            mTrace = mTrace * 31 + mNowMillis;
            event.action().run();
        }
    }

    void runFor(long millis) {
        long end = mNowMillis + millis;
        runUntil(nowMillis() + millis);
        mNowMillis = end;
    }

    void after(long millis, Runnable action) {
        mEvents.add(new Event(mNowMillis + millis, mEventNumber++, action));
    }

    void start(SimulatedMember member) {
        OpenedLog opened = member.start();
        mInvariants.started(member.mIdentifier, opened.recovered());
        member.mCore =
                ConsensusMember.recover(
                        member.mIdentifier,
                        opened.recovered(),
                        TIMING,
                        mLimits,
                        mRules,
                        new Random(mRandom.nextLong()),
                        now());
        member.mCore.snapshot().ifPresent(member::restore);
        scheduleTick(member);
    }

    void startBlank(MemberIdentifier identifier) {
        SimulatedMember member = new SimulatedMember(identifier);
        mMembers.put(identifier, member);
        start(member);
    }

    void freeze(SimulatedMember member, long millis) {
        member.mFrozen = true;
        after(millis, () -> thaw(member));
    }

    void thaw(SimulatedMember member) {
        member.mFrozen = false;
        List<Runnable> waiting = List.copyOf(member.mWhileFrozen);
        member.mWhileFrozen.clear();
        waiting.forEach(Runnable::run);
    }

    void block(MemberIdentifier from, MemberIdentifier to) {
        mBlocked.add(new Link(from, to));
    }

    void healNetwork() {
        mBlocked.clear();
    }

    void startLosses() {
        mLossy = true;
    }

    void stopLosses() {
        mLossy = false;
        healNetwork();
    }

    long propose(SimulatedMember member) {
        long ticket = ++mTicket;
        List<Proposal> proposals = new ArrayList<>();
        for (int count = mRandom.nextInt(3); count >= 0; count--) {
            proposals.add(new Proposal(ticket, command(ticket)));
            ticket = ++mTicket;
        }
        deliver(member, new Input.Propose(proposals));
        return ticket;
    }

    void read(SimulatedMember member) {
        long ticket = ++mTicket;
        mInvariants.readStarted(ticket);
        deliver(member, new Input.ConfirmRead(ticket));
    }

    void change(SimulatedMember member, MembershipChange change) {
        deliver(member, new Input.ChangeMembership(++mTicket, change));
    }

    void compact(SimulatedMember member) {
        if (member.mUp && !member.mFrozen) {
            step(member, new Input.Compact(member.mAppliedIndex, member.state()));
        }
    }

    /** Hands an input to a member now, or once it thaws; a crash in between loses it. */
    private void deliver(SimulatedMember member, Input input) {
        run(member, member.mStarts, () -> step(member, input));
    }

    private void run(SimulatedMember member, int starts, Runnable action) {
        if (!member.mUp || member.mStarts != starts) {
            return;
        }
        if (member.mFrozen) {
            member.mWhileFrozen.add(() -> run(member, starts, action));
        } else {
            action.run();
        }
    }

    private void step(SimulatedMember member, Input input) {
        for (Output output : member.mCore.step(input, now())) {
            perform(member, output);
        }
    }

    private void perform(SimulatedMember member, Output output) {
        switch (output) {
            case Output.Send send -> send(member.mIdentifier, send);
            case Output.Persist persist -> {
                mInvariants.persisting(member.mIdentifier, persist);
                member.mUnwritten.add(persist);
                write(member);
            }
            case Output.Apply apply -> mInvariants.applied(member, apply);
            case Output.Restore restore -> mInvariants.restored(member, restore.snapshot());
            case Output.ReadConfirmed read -> mInvariants.readConfirmed(read);
            case Output.AlreadyChanged changed -> {}
            case Output.Refused refused -> {}
            case Output.StatusChanged changed -> mInvariants.statusChanged(changed.status());
        }
    }

    /** Writes after a while, and syncs and reports after another. */
    private void write(SimulatedMember member) {
        if (member.mDiskBusy) {
            return;
        }
        member.mDiskBusy = true;
        int starts = member.mStarts;
        int mostMillis = mTarget == Target.CRASHED_LEADERS ? 60 : 10;
        after(
                mRandom.nextInt(mostMillis),
                () -> run(member, starts, () -> writeNow(member, starts)));
    }

    private void writeNow(SimulatedMember member, int starts) {
        while (!member.mUnwritten.isEmpty()) {
            Output.Persist persist = member.mUnwritten.poll();
            persist.writeTo(member.mStore);
            member.mWrittenSequence = persist.sequence();
        }
        after(mRandom.nextInt(15), () -> run(member, starts, () -> sync(member)));
    }

    private void sync(SimulatedMember member) {
        member.mStore.sync();
        member.mDiskBusy = false;
        long sequence = member.mWrittenSequence;
        if (!member.mUnwritten.isEmpty()) {
            write(member);
        }
        step(member, new Input.Persisted(sequence));
    }

    private void send(MemberIdentifier from, Output.Send send) {
        SimulatedMember receiver = mMembers.get(send.to());
        int copies = !mLossy ? 1 : mRandom.nextInt(100) < 5 ? 0 : mRandom.nextInt(100) < 5 ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            int delay = 1 + mRandom.nextInt(mRandom.nextInt(20) == 0 && mLossy ? 300 : 15);
            after(delay, () -> arrive(from, receiver, send.message()));
        }
    }

    private void arrive(MemberIdentifier from, SimulatedMember receiver, Message message) {
        if (!mBlocked.contains(new Link(from, receiver.mIdentifier))) {
            Message decoded =
                    MessageCodec.decode(MessageCodec.encode(receiver.mIdentifier, message))
                            .message();
            deliver(receiver, new Input.Receive(from, decoded));
        }
    }

    private void scheduleTick(SimulatedMember member) {
        int starts = member.mStarts;
        after(
                TICK_MILLIS,
                () -> {
                    if (member.mUp && member.mStarts == starts) {
                        if (!member.mFrozen) {
                            step(member, new Input.Tick());
                        }
                        scheduleTick(member);
                    }
                });
    }

    private Instant now() {
        return Instant.ofEpochMilli(mNowMillis);
    }

    private static byte[] command(long ticket) {
        return ByteBuffer.allocate(Long.BYTES).putLong(ticket).array();
    }

    /** What the schedule aims at besides faults anywhere. */
    enum Target {
        ANY,
        CRASHED_LEADERS,
        ISOLATED_LEADERS
    }

    private record Link(MemberIdentifier from, MemberIdentifier to) {}

    private record Event(long atMillis, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }
}
