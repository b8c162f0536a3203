package org.ibisstand.entry;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.EventExecutor;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.Verdict;
import org.tinylog.Logger;

/** What the connections of all callers share; may be used by any thread. */
final class CallerContext {
    private final CallReader mReader;
    private final FlowContext mFlows;
    private final BootIdentifier mBoot;
    private final int mMaximumRequests;
    private final AtomicLong mNextRequest = new AtomicLong(1);
    private final AtomicBoolean mDraining = new AtomicBoolean();

    CallerContext(CallReader reader, FlowContext flows, BootIdentifier boot, int maximumRequests) {
        mReader = reader;
        mFlows = flows;
        mBoot = boot;
        mMaximumRequests = maximumRequests;
    }

    String nextRequestIdentifier() {
        return mBoot + "-" + mNextRequest.getAndIncrement();
    }

    long revision() {
        return mFlows.state().revision();
    }

    Call read(String identifier, FullHttpRequest request) {
        if (mFlows.inProgress() >= mMaximumRequests) {
            throw new IbisstandException(
                    ErrorCode.OVERLOADED, "the entry serves all the requests that it may");
        }
        return mReader.read(identifier, request, mFlows.state());
    }

    /**
     * Counts a call in.
     *
     * @return why the call is refused, or nothing
     */
    Optional<Verdict.NotRun> begin(Call call) {
        return mFlows.requestBegun(call);
    }

    Flow flow(Call call, EventExecutor executor, AnswerSink sink) {
        return new Flow(call, mFlows, executor, sink);
    }

    void refused(String identifier, Verdict.NotRun refusal) {
        mFlows.metrics().refused();
        Logger.info(
                "event=refused request={} verdict=not-run code={} message={}",
                identifier,
                refusal.code(),
                refusal.message());
    }

    boolean isDraining() {
        return mDraining.get();
    }

    void drain() {
        mDraining.set(true);
    }

    int inProgress() {
        return mFlows.inProgress();
    }
}
