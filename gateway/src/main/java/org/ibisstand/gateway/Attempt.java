package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;

/** One request at one backend server: reads the answer and says what it proves. */
final class Attempt implements ExchangeListener {
    /** Answers of plain calls are held until they are whole; larger ones than this are refused. */
    private static final int MAXIMUM_ANSWER_BYTES = 8 << 20;

    /** Connections that were idle for longer are not used for requests that may run only once. */
    private static final long LONGEST_IDLE_MILLISECONDS = 1_000;

    private final Forwarding mForwarding;
    private final Gateway mGateway;
    private final Placement.Place mPlace;
    private final BackendServer mServer;
    private final Optional<Prompt> mPrompt;
    private Optional<BackendExchanges.Exchange> mExchange = Optional.empty();
    private Optional<HttpResponse> mHead = Optional.empty();
    private Optional<StreamRelay> mRelay = Optional.empty();
    private ByteBuf mBody = Unpooled.EMPTY_BUFFER;
    private boolean mStarted;
    private boolean mEnded;

    Attempt(
            Forwarding forwarding,
            Gateway gateway,
            Placement.Place place,
            Optional<Prompt> prompt) {
        mForwarding = forwarding;
        mGateway = gateway;
        mPlace = place;
        mServer = place.server();
        mPrompt = prompt;
    }

    void send(FullHttpRequest request, String identifier, boolean isRepeatable) {
        mServer.sent(this, tokens(), mGateway.now());
        long longestIdle = isRepeatable ? Long.MAX_VALUE : LONGEST_IDLE_MILLISECONDS;
        mExchange =
                Optional.of(
                        mGateway.exchanges().send(mServer, request, identifier, longestIdle, this));
    }

    BackendServer server() {
        return mServer;
    }

    /** Returns the scope of the KV cache that the request was allowed to use. */
    CacheScope scope() {
        return mPlace.scope();
    }

    /** Returns the model that the request asks for; empty if it carries no prompt. */
    Optional<String> model() {
        return mPrompt.map(Prompt::model);
    }

    /** Returns whether the answer says which weights the server has. */
    boolean namesWeights() {
        return mHead.filter(head -> head.headers().contains(mGateway.names().weights()))
                .isPresent();
    }

    /** Returns the weights that the engine changed to while it made the stream. */
    Optional<String> changedWeights() {
        return mRelay.flatMap(StreamRelay::changedWeights);
    }

    boolean isSent() {
        return mExchange.filter(BackendExchanges.Exchange::isSent).isPresent();
    }

    boolean hasNoHead() {
        return mHead.isEmpty() && isSent();
    }

    void setReading(boolean reading) {
        mExchange.ifPresent(exchange -> exchange.setReading(reading));
    }

    void cancel() {
        mExchange.ifPresent(BackendExchanges.Exchange::cancel);
    }

    /** Lets go of what the attempt counts at its server. */
    void end() {
        if (!mEnded) {
            mEnded = true;
            start();
            mServer.ended(this);
            mGateway.heldAnswers().released(this, heldBytes());
            mBody.release();
            mBody = Unpooled.EMPTY_BUFFER;
        }
    }

    /** The server says nothing on any connection; what may run elsewhere goes there. */
    void serverSilent() {
        if (mForwarding.isCurrent(this) && isSent() && mForwarding.isRepeatable()) {
            mForwarding.attemptFailed(this, "server_silent", true);
        }
    }

    @Override
    public void notSent(String reason) {
        if (mForwarding.isCurrent(this)) {
            mServer.failed(mGateway.now());
            mForwarding.unsent(this, reason);
        }
    }

    @Override
    public void head(HttpResponse head) {
        if (!mForwarding.isCurrent(this)) {
            return;
        }
        mHead = Optional.of(head);
        Optional.ofNullable(head.headers().get(mGateway.names().serverLoad()))
                .flatMap(text -> ServerLoad.parse(text, mGateway.now()))
                .ifPresent(mServer::loadReported);
        mForwarding.learnWeights(mServer, head.headers().get(mGateway.names().weights(), ""));
        if (isSuccess() && !isSigned()) {
            mForwarding.attemptFailed(this, "unsigned_answer", true);
        } else if (isSuccess() && mForwarding.route().isStream()) {
            mRelay = Optional.of(mForwarding.stream(head));
        }
    }

    @Override
    public void data(ByteBuf data) {
        if (!mForwarding.isCurrent(this) || mHead.isEmpty()) {
            return;
        }
        start();
        if (mRelay.isPresent()) {
            relay(mRelay.get(), data);
        } else if (mBody.readableBytes() + data.readableBytes() > MAXIMUM_ANSWER_BYTES) {
            mForwarding.attemptFailed(this, "overlong_answer", true);
        } else {
            hold(data);
        }
    }

    /** Returns the memory that the body of the answer takes. */
    int heldBytes() {
        return mBody.capacity();
    }

    /** The answers of all requests take too much memory. */
    void giveUpHeld() {
        mForwarding.attemptFailed(this, "overlong_answers", true);
    }

    @Override
    public void finished(boolean framed) {
        if (!mForwarding.isCurrent(this)) {
            return;
        }
        HttpResponse head = mHead.orElseThrow();
        boolean isNotRun =
                head.headers().contains(mGateway.names().notExecuted())
                        || head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
        if (isNotRun) {
            mForwarding.notRun(this, head.status().code());
        } else if (mRelay.isPresent()) {
            finishStream();
        } else {
            finishWhole(head);
        }
    }

    @Override
    public void broken(String reason) {
        if (mForwarding.isCurrent(this)) {
            mForwarding.run().streamEnded(() -> mForwarding.attemptFailed(this, reason, false));
        }
    }

    private void finishStream() {
        mForwarding
                .run()
                .streamEnded(
                        () -> {
                            if (mRelay.get().hasPartial()) {
                                mForwarding.attemptFailed(this, "stream_ends_inside_event", false);
                            } else {
                                mServer.succeeded();
                                mForwarding.streamed(this);
                            }
                        });
    }

    private void finishWhole(HttpResponse head) {
        int status = head.status().code();
        boolean isServerFailure = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        if (isServerFailure) {
            mServer.answeredFailure();
        } else {
            mServer.succeeded();
        }
        if (isServerFailure && mForwarding.repeatsFailure(this, status)) {
            return;
        }
        mForwarding.answered(this, head, mBody.retainedDuplicate());
    }

    private void relay(StreamRelay relay, ByteBuf data) {
        if (!relay.data(data)) {
            mForwarding.attemptFailed(this, "overlong_event", true);
            return;
        }
        relay.changedWeights().ifPresent(text -> mForwarding.learnWeights(mServer, text));
        if (!relay.takesMore()) {
            setReading(false);
        } else if (mServer.losesRuns(mGateway.now())) {
            mForwarding.run().move(this);
        }
    }

    private void hold(ByteBuf data) {
        int heldBefore = heldBytes();
        mBody = mBody.isReadable() ? mBody : Unpooled.buffer(data.readableBytes());
        mBody.writeBytes(data, data.readerIndex(), data.readableBytes());
        if (heldBytes() > heldBefore) {
            mGateway.heldAnswers().grown(this, heldBytes() - heldBefore);
        }
    }

    private boolean isSuccess() {
        return mHead.get().status().codeClass() == HttpStatusClass.SUCCESS;
    }

    private boolean isSigned() {
        return mHead.get().headers().contains(mGateway.names().signature());
    }

    private int tokens() {
        return mPrompt.map(Prompt::promptTokens).orElse(0);
    }

    private void start() {
        if (!mStarted) {
            mStarted = true;
            mServer.started(tokens());
        }
    }
}
