package org.ibisstand.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.control.message.Command;
import org.ibisstand.control.message.CommandResult;
import org.ibisstand.control.message.Refusal;

/**
 * Proposes commands to the log, stamped with the clock of this member; used on the control thread.
 */
final class CommandProposer {
    static final int MAXIMUM_OPEN_COMMANDS = 10_000;

    /** A quarter of the smallest heap that a member runs with; each command is held in copies. */
    static final long MAXIMUM_OPEN_BYTES = 16 << 20;

    private final Log mLog;
    private final Clock mClock;
    private int mOpenCount;
    private long mOpenBytes;

    private CommandProposer(Log log, Clock clock) {
        mLog = log;
        mClock = clock;
    }

    static CommandProposer create(Log log, Clock clock) {
        return new CommandProposer(log, clock);
    }

    /**
     * Proposes a command. The future fails with the error code of a refusal, with OVERLOADED if too
     * many proposals or too large ones are open, or as {@link Log#propose} does.
     */
    CompletableFuture<CommandResult> propose(Command.Builder command) {
        byte[] bytes = command.setNowMilliseconds(mClock.millis()).build().toByteArray();
        boolean isTooLarge = mOpenCount > 0 && mOpenBytes + bytes.length > MAXIMUM_OPEN_BYTES;
        if (mOpenCount >= MAXIMUM_OPEN_COMMANDS || isTooLarge) {
            return CompletableFuture.failedFuture(
                    new IbisstandException(
                            ErrorCode.OVERLOADED, "too many commands are waiting for the log"));
        }
        mOpenCount++;
        mOpenBytes += bytes.length;
        return mLog.propose(bytes)
                .whenComplete((result, failure) -> closed(bytes.length))
                .thenApply(CommandProposer::toResult);
    }

    private void closed(int bytes) {
        mOpenCount--;
        mOpenBytes -= bytes;
    }

    int openCount() {
        return mOpenCount;
    }

    private static CommandResult toResult(byte[] bytes) {
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
            throw new IbisstandException(
                    ErrorCode.INTERNAL, "the result of a command cannot be parsed", e);
        }
    }
}
