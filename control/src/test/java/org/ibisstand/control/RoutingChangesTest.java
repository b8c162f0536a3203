package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.control.message.CommandResult;
import org.ibisstand.control.message.PutRouting;
import org.junit.jupiter.api.Test;

/** Guards against memory that grows with the number of configurations that are sent at once. */
class RoutingChangesTest {
    private static final int MEGABYTE = 1 << 20;

    private final List<Long> mProposedVersions = new ArrayList<>();
    private final List<CompletableFuture<CommandResult>> mProposals = new ArrayList<>();
    private final RoutingChanges mChanges = new RoutingChanges(this::propose);

    private boolean mIsRefusing;
    private boolean mIsThrowing;

    @Test
    void smallChangesAreProposedAtOnce() {
        for (int version = 1; version <= 100; version++) {
            add(version, 1_000);
        }

        assertThat(mProposedVersions).hasSize(100);
    }

    @Test
    void aLargeChangeWaitsForTheOneBeforeIt() {
        add(1, 3 * MEGABYTE);
        add(2, 3 * MEGABYTE);
        assertThat(mProposedVersions).containsExactly(1L);

        mProposals.getFirst().complete(CommandResult.getDefaultInstance());

        assertThat(mProposedVersions).containsExactly(1L, 2L).inOrder();
    }

    @Test
    void aFailedChangeLetsTheNextOneFollow() {
        CompletableFuture<CommandResult> first = add(1, 3 * MEGABYTE);
        add(2, 3 * MEGABYTE);

        mProposals.getFirst().completeExceptionally(new IllegalStateException("no leader"));

        assertThat(first.isCompletedExceptionally()).isTrue();
        assertThat(mProposedVersions).containsExactly(1L, 2L).inOrder();
    }

    @Test
    void changesBeyondTheLimitAreRefusedAndNotProposedLater() {
        for (int version = 1; version <= 4; version++) {
            add(version, 4 * MEGABYTE);
        }
        CompletableFuture<CommandResult> refused = add(5, 4 * MEGABYTE);

        CompletionException failure = assertThrows(CompletionException.class, refused::join);
        assertThat(((IbisstandException) failure.getCause()).code())
                .isEqualTo(ErrorCode.OVERLOADED);
        for (int index = 0; index < mProposals.size(); index++) {
            mProposals.get(index).complete(CommandResult.getDefaultInstance());
        }
        assertThat(mProposedVersions).doesNotContain(5L);
    }

    /** The process runs its threads with stacks of this size. */
    @Test
    void thousandsOfWaitingChangesThatAreRefusedAtOnceLetTheNextOneFollow() throws Exception {
        Thread thread =
                new Thread(null, this::refuseThousandsOfWaitingChanges, "control", 512 << 10);
        thread.start();
        thread.join();

        add(20_000, 3 * MEGABYTE);
        assertThat(mProposedVersions.getLast()).isEqualTo(20_000);
    }

    private void refuseThousandsOfWaitingChanges() {
        add(1, 3 * MEGABYTE);
        for (int version = 2; version <= 10_000; version++) {
            add(version, 1_000);
        }
        mIsRefusing = true;
        mProposals.getFirst().completeExceptionally(new IllegalStateException("refused"));
    }

    @Test
    void aChangeWhoseProposalThrowsFailsAndLetsTheNextOneFollow() {
        mIsThrowing = true;
        CompletableFuture<CommandResult> first = add(1, 3 * MEGABYTE);
        mIsThrowing = false;
        add(2, 3 * MEGABYTE);

        assertThat(first.isCompletedExceptionally()).isTrue();
        assertThat(mProposedVersions).containsExactly(2L);
    }

    private CompletableFuture<CommandResult> add(long version, int bytes) {
        return mChanges.add(
                PutRouting.newBuilder()
                        .setVersion(version)
                        .setJson(ByteString.copyFrom(new byte[bytes]))
                        .build());
    }

    private CompletableFuture<CommandResult> propose(PutRouting routing) {
        if (mIsThrowing) {
            throw new IllegalStateException("the proposer is broken");
        }
        mProposedVersions.add(routing.getVersion());
        if (mIsRefusing) {
            return CompletableFuture.failedFuture(new IllegalStateException("refused"));
        }
        mProposals.add(new CompletableFuture<>());
        return mProposals.getLast();
    }
}
