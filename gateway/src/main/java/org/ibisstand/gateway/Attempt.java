package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import org.ibisstand.base.LogLine;
import org.ibisstand.gateway.limits.OverloadQueue;
import org.ibisstand.routing.SilentServer;
import org.ibisstand.routing.rates.Prefill;

/**
 * One attempt to serve a request at one backend server. Reads the response and reports whether the
 * request completed, did not run, or may have run.
 */
final class Attempt implements ExchangeListener, BufferedResponses.Holder {
    /** Responses other than streams are buffered until they are complete; larger ones fail. */
    private static final int MAXIMUM_RESPONSE_BYTES = 8 << 20;

    /** Requests that may run only once do not use connections that were idle for longer. */
    private static final long NON_RETRYABLE_MAXIMUM_IDLE_MILLISECONDS = 1_000;

    private final RequestForwarder mForwarder;
    private final GatewayContext mGateway;
    private final ServerPlacement.Destination mDestination;
    private final BackendServer mServer;
    private final Optional<Prompt> mPrompt;
    private Optional<BackendClient.Exchange> mExchange = Optional.empty();
    private Optional<HttpResponse> mHead = Optional.empty();
    private Optional<StreamRelay> mRelay = Optional.empty();
    private ByteBuf mBody = Unpooled.EMPTY_BUFFER;
    private boolean mPendingTokensRemoved;
    private long mSentAt;
    private boolean mIsFirstRun;
    private boolean mResponded;
    private boolean mDelimited;
    private int mPossibleStops;
    private boolean mReleased;

    Attempt(
            RequestForwarder forwarder,
            GatewayContext gateway,
            ServerPlacement.Destination destination,
            Optional<Prompt> prompt) {
        mForwarder = forwarder;
        mGateway = gateway;
        mDestination = destination;
        mServer = destination.server();
        mPrompt = prompt;
    }

    /**
     * Sends the request.
     *
     * @param request the request; this method takes ownership
     * @param identifier the identifier of the request
     * @param isRetryable whether the request may run more than once
     * @param isRepeated whether the server received the request before
     */
    void send(FullHttpRequest request, String identifier, boolean isRetryable, boolean isRepeated) {
        mSentAt = mGateway.now();
        mIsFirstRun =
                !isRepeated && !mForwarder.isStreamStarted() && !mForwarder.runMover().isResuming();
        mServer.attemptSent(this, promptTokens(), mSentAt);
        if (mServer.isPaused(mSentAt)) {
            request.release();
            mGateway.loop().execute(this::onServerPaused);
            return;
        }
        mExchange =
                Optional.of(
                        mGateway.backendClient()
                                .send(
                                        mServer,
                                        request,
                                        identifier,
                                        maximumIdleMilliseconds(isRetryable, isRepeated),
                                        this));
    }

    /** A repeated request uses a new connection: an earlier response has the same identifier. */
    private static long maximumIdleMilliseconds(boolean isRetryable, boolean isRepeated) {
        if (isRepeated) {
            return BackendClient.NEW_CONNECTION;
        }
        return isRetryable ? Long.MAX_VALUE : NON_RETRYABLE_MAXIMUM_IDLE_MILLISECONDS;
    }

    BackendServer server() {
        return mServer;
    }

    /** Returns the scope of the KV cache that the request may use. */
    CacheScope scope() {
        return mDestination.scope();
    }

    /** Returns whether a part of the prompt may have crashed another engine before. */
    boolean isSuspectElsewhere() {
        return mPrompt.filter(
                        prompt -> mGateway.partQuarantine().isSuspectElsewhere(prompt, mServer))
                .isPresent();
    }

    /** Records the weights version that the server stated in its response. */
    private void recordWeights(String version) {
        if (mPrompt.isEmpty() || version.isEmpty() || version.length() >= Integer.SIZE / 2) {
            return;
        }
        try {
            mServer.recordResponseWeights(mPrompt.get().model(), Long.parseLong(version));
        } catch (NumberFormatException e) {
            LogLine.info("weights_unreadable")
                    .with("server", mServer.name())
                    .with("text", version)
                    .write();
        }
    }

    /** Returns the model that the request asks for; empty if it has no prompt. */
    Optional<String> model() {
        return mPrompt.map(Prompt::model);
    }

    /**
     * Assumes the newest weights at a server that rejected the request as misdirected and did not
     * state its weights: if it was replaced or loaded other weights, it most likely has the newest
     * by now.
     */
    void assumeNewestWeights() {
        boolean statesWeights =
                mHead.filter(head -> head.headers().contains(mGateway.headerNames().weights()))
                        .isPresent();
        if (!statesWeights) {
            model().ifPresent(
                            model ->
                                    mServer.assumeWeights(
                                            model, mGateway.weightsHistory().newest(model)));
        }
    }

    /** Returns the weights version that the engine changed to during the stream, if it did. */
    Optional<String> changedWeights() {
        return mRelay.flatMap(StreamRelay::changedWeights);
    }

    boolean isSent() {
        return mExchange.filter(BackendClient.Exchange::isSent).isPresent();
    }

    /** Returns what to log about the connection to the server; empty if there is none. */
    Optional<ConnectionUse> connectionUse() {
        return mExchange.flatMap(BackendClient.Exchange::connectionUse);
    }

    boolean awaitsHead() {
        return mHead.isEmpty() && isSent();
    }

    /** Pauses or resumes reading; the rest of a run that is asked to stop is read at once. */
    void setReading(boolean reading) {
        mExchange.ifPresent(exchange -> exchange.setReading(reading || mPossibleStops > 0));
    }

    void cancel() {
        mExchange.ifPresent(BackendClient.Exchange::cancel);
    }

    /** Notes that the engine was asked to stop the run, which it may do late. */
    void stopRequested() {
        mPossibleStops++;
        setReading(true);
    }

    /** Notes that the engine did not stop the run when it was last asked to, and will not. */
    void stopRefused() {
        mPossibleStops--;
    }

    /** Removes the attempt from the counts of its server and frees the buffered body. */
    void release() {
        if (!mReleased) {
            mReleased = true;
            removePendingTokens();
            mServer.attemptEnded(this);
            mBody.release();
            mBody = Unpooled.EMPTY_BUFFER;
            mGateway.bufferedResponses().update(this, 0);
            mGateway.overloadQueue().ifPresent(OverloadQueue::requestPoll);
        }
    }

    /** Retries the request at another server, if that is allowed, after a silence of this one. */
    void onServerSilent(SilentServer silence) {
        if (!mForwarder.isCurrent(this) || !isSent() || !mForwarder.isRetryable()) {
            return;
        }
        switch (silence.actionFor(mForwarder.admitted().remainingMilliseconds())) {
            case WAIT -> {
                // The server may be computing a long prompt.
            }
            case RETRY_IF_POSSIBLE -> mForwarder.serverSilent(this, "server_slow", true);
            case GIVE_UP -> mForwarder.serverSilent(this, "server_silent", false);
        }
    }

    @Override
    public void onNotSent(String reason) {
        if (mForwarder.isCurrent(this)) {
            mServer.recordFailure(mGateway.now());
            mForwarder.connectFailed(this, reason);
        }
    }

    /** Handles a server that asked for no requests since it was chosen, such as for a run. */
    private void onServerPaused() {
        if (mForwarder.isCurrent(this)) {
            mForwarder.connectFailed(this, "server_pauses");
        }
    }

    @Override
    public void onHead(HttpResponse head) {
        if (!mForwarder.isCurrent(this)) {
            return;
        }
        mHead = Optional.of(head);
        Optional.ofNullable(head.headers().get(mGateway.headerNames().serverLoad()))
                .flatMap(text -> ServerLoad.parse(text, mGateway.now()))
                .ifPresent(mServer::updateLoad);
        recordWeights(head.headers().get(mGateway.headerNames().weights(), ""));
        if (isSuccess() && !hasSignature()) {
            mForwarder.attemptFailed(this, "unsigned_answer", true);
        } else if (isSuccess() && mForwarder.route().isStream()) {
            readStreamHead(head);
        }
    }

    private void readStreamHead(HttpResponse head) {
        switch (StreamContinuation.decide(head, mForwarder.isStreamStarted())) {
            case StreamContinuation.EventStream stream ->
                    mRelay = Optional.of(mForwarder.openRelay(head));
            case StreamContinuation.OtherResponse other -> {
                // Its body is buffered, as on other routes.
            }
            case StreamContinuation.Rejected rejected ->
                    mForwarder.attemptFailed(this, rejected.reason(), true);
        }
    }

    @Override
    public void onData(ByteBuf data) {
        if (!mForwarder.isCurrent(this) || mHead.isEmpty()) {
            return;
        }
        removePendingTokens();
        if (mRelay.isPresent()) {
            relayEvents(mRelay.get(), data);
        } else if (mBody.readableBytes() + data.readableBytes() > MAXIMUM_RESPONSE_BYTES) {
            mForwarder.attemptFailed(this, "overlong_answer", true);
        } else {
            bufferBody(data);
        }
    }

    @Override
    public void discardBuffered() {
        mForwarder.attemptFailed(this, "overlong_answers", true);
    }

    @Override
    public void onComplete(boolean delimited) {
        if (!mForwarder.isCurrent(this)) {
            return;
        }
        HttpResponse head = mHead.orElseThrow();
        if (ServerRefusal.isProven(head, mGateway.headerNames())) {
            mForwarder.rejectedByServer(this, head.status().code());
        } else if (ServerRefusal.looksProven(head) && !mForwarder.isRetryable()) {
            mForwarder.attemptFailed(this, "unproven_refusal", false);
        } else if (mRelay.isPresent()) {
            mDelimited = delimited;
            finishStream();
        } else {
            finishBuffered(head);
        }
    }

    @Override
    public void onFailure(String reason) {
        if (mForwarder.isCurrent(this)) {
            mForwarder
                    .runMover()
                    .streamEnded(new StreamEnd(StreamEnd.Kind.BROKEN, () -> brokenOff(reason)));
        }
    }

    /** Handles a response that ended early, or never began. */
    private void brokenOff(String reason) {
        if (!mResponded) {
            mPrompt.ifPresent(
                    prompt -> mGateway.partQuarantine().recordFailure(prompt, mServer, mSentAt));
        }
        mForwarder.attemptFailed(this, reason, false);
    }

    /** Records the first event of a stream or a complete response of another kind. */
    private void recordResponse() {
        if (!mResponded) {
            mResponded = true;
            mPrompt.ifPresent(prompt -> mGateway.partQuarantine().recordResponse(prompt));
        }
    }

    /**
     * Records how long the engine computed the prompt, if its first event just arrived and its load
     * report shows that no other request waited there.
     */
    private void recordPrefill() {
        if (mResponded || !mIsFirstRun || mDestination.prefillTokens() == 0) {
            return;
        }
        mServer.load()
                .filter(load -> load.receivedAtMilliseconds() >= mSentAt && load.waiting() == 0)
                .ifPresent(
                        load ->
                                mGateway.serviceRates()
                                        .record(
                                                mServer.record().getService(),
                                                new Prefill(
                                                        mServer.name(),
                                                        mDestination.prefillTokens(),
                                                        mGateway.now() - mSentAt,
                                                        load.running())));
    }

    private void finishStream() {
        StreamEnd.Kind kind = mDelimited ? StreamEnd.Kind.DELIMITED : StreamEnd.Kind.CLOSED;
        boolean isBroken = mRelay.get().hasIncompleteEvent();
        mForwarder
                .runMover()
                .streamEnded(
                        new StreamEnd(
                                isBroken ? StreamEnd.Kind.BROKEN : kind, this::completeStream));
    }

    private void completeStream() {
        // An engine that breaks off before an event, or stops a run, closes in the same way.
        boolean isEndUnproven = !mDelimited && (!mRelay.get().hasEvents() || mPossibleStops > 0);
        if (mRelay.get().hasIncompleteEvent()) {
            brokenOff("stream_ends_inside_event");
        } else if (isEndUnproven) {
            brokenOff("stream_end_unproven");
        } else {
            mServer.recordSuccess();
            mForwarder.streamCompleted(this);
        }
    }

    private void finishBuffered(HttpResponse head) {
        int status = head.status().code();
        boolean isServerFailure = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        if (isServerFailure && mServer.isPaused(mGateway.now())) {
            mServer.recordRefusal(mGateway.now());
        } else if (isServerFailure) {
            mServer.recordFailureResponse();
        } else {
            mServer.recordSuccess();
        }
        if (isSuccess()) {
            recordResponse();
        }
        if (isServerFailure && mForwarder.retryServerError(this, status)) {
            return;
        }
        mForwarder.forwardResponse(this, head, mBody.retainedDuplicate());
    }

    private void relayEvents(StreamRelay relay, ByteBuf data) {
        Optional<String> fault = relay.forward(data);
        if (fault.isPresent()) {
            mForwarder.attemptFailed(this, fault.get(), true);
            return;
        }
        mGateway.bufferedResponses().update(this, relay.bufferedBytes());
        if (mReleased) {
            return;
        }
        if (relay.isStarted()) {
            recordPrefill();
            recordResponse();
        }
        relay.changedWeights().ifPresent(this::recordWeights);
        if (!relay.isCallerWritable()) {
            setReading(false);
        } else if (mServer.shouldMoveRuns(mGateway.now())) {
            mForwarder.runMover().move(this);
        }
    }

    private void bufferBody(ByteBuf data) {
        mBody = mBody.isReadable() ? mBody : Unpooled.buffer(data.readableBytes());
        mBody.writeBytes(data, data.readerIndex(), data.readableBytes());
        mGateway.bufferedResponses().update(this, mBody.capacity());
    }

    private boolean isSuccess() {
        return mHead.get().status().codeClass() == HttpStatusClass.SUCCESS;
    }

    private boolean hasSignature() {
        return mHead.get().headers().contains(mGateway.headerNames().signature());
    }

    private int promptTokens() {
        return mPrompt.map(Prompt::promptTokens).orElse(0);
    }

    private void removePendingTokens() {
        if (!mPendingTokensRemoved) {
            mPendingTokensRemoved = true;
            mServer.removePendingTokens(promptTokens());
        }
    }
}
