package org.ibisstand.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.control.message.Command;
import org.ibisstand.control.message.CommandResult;
import org.ibisstand.control.message.Refusal;

/** Sends commands through the log with the time of this member; used on the control thread. */
final class Proposals {
    static final int MAXIMUM_OPEN = 10_000;

    private final Log mLog;
    private final Clock mClock;
    private int mOpen;

    private Proposals(Log log, Clock clock) {
        mLog = log;
        mClock = clock;
    }

    static Proposals create(Log log, Clock clock) {
        return new Proposals(log, clock);
    }

    /**
     * Proposes a command; fails with the code of a refusal, with OVERLOADED if too many proposals
     * are open, or as {@link Log#propose} fails.
     */
    CompletableFuture<CommandResult> propose(Command.Builder command) {
        if (mOpen >= MAXIMUM_OPEN) {
            return CompletableFuture.failedFuture(
                    new IbisstandException(ErrorCode.OVERLOADED, "too many commands are open"));
        }
        mOpen++;
        byte[] bytes = command.setNowMilliseconds(mClock.millis()).build().toByteArray();
        return mLog.propose(bytes)
                .whenComplete((result, failure) -> mOpen--)
                .thenApply(Proposals::resultOf);
    }

    int open() {
        return mOpen;
    }

    private static CommandResult resultOf(byte[] bytes) {
        CommandResult result = parse(bytes);
        if (result.hasRefusal()) {
            Refusal refusal = result.getRefusal();
            throw new IbisstandException(
                    ErrorCode.valueOf(refusal.getCode()), refusal.getMessage());
        }
        return result;
    }

    private static CommandResult parse(byte[] bytes) {
        try {
            return CommandResult.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IbisstandException(ErrorCode.INTERNAL, "the result is damaged", e);
        }
    }
}
