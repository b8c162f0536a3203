package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ibisstand.settings.Route;
import org.ibisstand.settings.Route.WeightedService;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.settings.RoutingConfiguration.TeamKeys;

/**
 * Serves one request of a caller: admits it, sends it to a backend server, to a further one where
 * that is allowed, and answers exactly once. For the traffic thread only.
 *
 * <p>A request that may run once at most is sent again only after a backend server, or the lack of
 * a connection, proved that it did not run. A resumable stream goes on at a further server behind
 * its last whole event, inside the same answer.
 */
final class Forwarding {
    /** Servers that may refuse the request, or the connection, before the caller is refused. */
    private static final int MAXIMUM_NOT_RUN = 3;

    /** The last place in an engine's queue. */
    private static final int LEAST_URGENT = 9;

    private final Gateway mGateway;
    private final CallerRequest mRequest;
    private final CallerAnswer mCaller;
    private final RequestLog mLog;
    private final Set<BackendServer> mTried = new HashSet<>();
    private Optional<Admission.Admitted> mAdmitted = Optional.empty();
    private Optional<Prompt> mPrompt = Optional.empty();
    private Optional<RoutedService> mService = Optional.empty();
    private Optional<Attempt> mAttempt = Optional.empty();
    private Optional<Future<?>> mTimer = Optional.empty();
    private Optional<StreamRelay> mStream = Optional.empty();
    private long mLimitAt;
    private int mSent;
    private int mNotRun;
    private boolean mMayHaveRun;
    private boolean mDone;

    Forwarding(Gateway gateway, CallerRequest request, CallerAnswer caller) {
        mGateway = gateway;
        mRequest = request;
        mCaller = caller;
        mLog = new RequestLog(gateway, request);
    }

    void start() {
        switch (Admission.of(mGateway.table(), mRequest)) {
            case Admission.Refused refused -> refuse(refused.status(), refused.reason());
            case Admission.Admitted admitted -> admit(admitted);
        }
    }

    /** The caller closed its connection: the work for it is cancelled. */
    void callerLeft() {
        if (!mDone) {
            mLog.event("caller_left", "after_ms", mLog.elapsedMilliseconds());
            mGateway.metrics().counted("callers_left");
            finish();
        }
    }

    void setReading(boolean reading) {
        mAttempt.ifPresent(attempt -> attempt.setReading(reading));
    }

    private void admit(Admission.Admitted admitted) {
        mAdmitted = Optional.of(admitted);
        Route route = admitted.route();
        mPrompt = mGateway.prompts().read(mRequest.headers());
        mService = mGateway.table().get().service(drawService(route));
        long limit = Math.min(route.timeoutMilliseconds(), deadline());
        mLimitAt = mRequest.arrivedMilliseconds() + limit;
        long left = mLimitAt - mGateway.now();
        mTimer =
                Optional.of(
                        mGateway.loop()
                                .schedule(this::expire, Math.max(0, left), TimeUnit.MILLISECONDS));
        mGateway.allowance(serviceName()).first();
        attempt();
    }

    private String drawService(Route route) {
        int sum = route.services().stream().mapToInt(WeightedService::weight).sum();
        int drawn = mGateway.random().nextInt(sum);
        for (WeightedService weighted : route.services()) {
            drawn -= weighted.weight();
            if (drawn < 0) {
                return weighted.service();
            }
        }
        throw new IllegalStateException("the weights of a route add up to " + sum);
    }

    private long deadline() {
        String text = mRequest.headers().get(mGateway.names().deadline(), "");
        try {
            return text.isEmpty() ? Long.MAX_VALUE / 2 : Math.max(0, Long.parseLong(text));
        } catch (NumberFormatException e) {
            mLog.event("deadline_unreadable", "text", text);
            return Long.MAX_VALUE / 2;
        }
    }

    private void attempt() {
        if (mDone) {
            return;
        }
        if (mService.isPresent() && mPrompt.isPresent() && mService.get().engine().isPresent()) {
            PromptPlacement.Task task =
                    new PromptPlacement.Task(
                            mService.get(),
                            mPrompt.get(),
                            team(),
                            mGateway.table().flatMap(RouteTable::cacheStore),
                            Set.copyOf(mTried));
            mGateway.promptPlacement().choose(task, this::send);
        } else {
            send(mService.flatMap(service -> mGateway.placement().choose(service, mTried)));
        }
    }

    private void send(Optional<Placement.Place> place) {
        if (mDone) {
            return;
        }
        if (place.isEmpty()) {
            giveUp("no_server");
            return;
        }
        BackendServer server = place.get().server();
        mTried.add(server);
        mSent++;
        int tokens = mPrompt.map(Prompt::promptTokens).orElse(0);
        Attempt attempt = new Attempt(this, mGateway, server, tokens);
        mAttempt = Optional.of(attempt);
        mPrompt.ifPresent(prompt -> mGateway.promptPlacement().sent(prompt, place.get()));
        mLog.placed(place.get(), mSent, mPrompt);
        RequestCopy copy =
                new RequestCopy(
                        mGateway.names(), mRequest, mAdmitted.get().team(), mPrompt.isPresent());
        attempt.send(copy.of(dispatch(place.get())), mRequest.identifier(), isRepeatable());
        armSilence(attempt);
    }

    private RequestCopy.Dispatch dispatch(Placement.Place place) {
        return new RequestCopy.Dispatch(
                place.server().name(),
                Math.max(1, mLimitAt - mGateway.now()),
                mStream.flatMap(StreamRelay::lastEvent),
                place.salt(),
                place.source(),
                place.target(),
                place.weights(),
                urgency());
    }

    /** The priority of the team goes before that of the route. */
    private int urgency() {
        int priority =
                mAdmitted
                        .flatMap(Admission.Admitted::team)
                        .flatMap(TeamKeys::priority)
                        .orElse(route().priority());
        return Math.clamp(priority, 0, LEAST_URGENT);
    }

    /** Notes the weights that made an answer. */
    void learnWeights(BackendServer server, String version) {
        if (mPrompt.isPresent() && !version.isEmpty() && version.length() < Integer.SIZE / 2) {
            try {
                server.learnedWeights(mPrompt.get().model(), Long.parseLong(version));
            } catch (NumberFormatException e) {
                mLog.event("weights_unreadable", "text", version);
            }
        }
    }

    /**
     * An idempotent call whose server says nothing for as long as the objective, or for half of the
     * time that is left, is sent to another one: connections fall silent without a reset, and the
     * first server is told to stop.
     */
    private void armSilence(Attempt attempt) {
        Route route = mAdmitted.get().route();
        if (route.repetition() != Route.Repetition.IDEMPOTENT) {
            return;
        }
        mGateway.loop()
                .schedule(
                        () -> {
                            if (!mDone && isCurrent(attempt) && attempt.hasNoHead()) {
                                attemptFailed(attempt, "silent", true);
                            }
                        },
                        Math.min(route.objectiveMilliseconds(), (mLimitAt - mGateway.now()) / 2),
                        TimeUnit.MILLISECONDS);
    }

    boolean isCurrent(Attempt attempt) {
        return !mDone && mAttempt.filter(present -> present == attempt).isPresent();
    }

    Route route() {
        return mAdmitted.get().route();
    }

    boolean isRepeatable() {
        return route().isIdempotent();
    }

    /** No connection could be opened: the server has seen nothing. */
    void unsent(Attempt attempt, String reason) {
        mNotRun++;
        mSent--;
        endAttempt(attempt);
        mLog.server("not_sent", attempt.server(), "reason", reason);
        if (mNotRun < MAXIMUM_NOT_RUN) {
            attempt();
        } else {
            giveUp("no_connection");
        }
    }

    /** The server said that it did not run the request. */
    void notRun(Attempt attempt, int status) {
        mNotRun++;
        mSent--;
        endAttempt(attempt);
        attempt.server().refused(mGateway.now());
        if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            mPrompt.ifPresent(prompt -> suspectWeights(attempt.server(), prompt));
        }
        mLog.server("not_run", attempt.server(), "status", status);
        if (mNotRun < MAXIMUM_NOT_RUN) {
            repeatOrGiveUp("refused_by_server");
        } else {
            giveUp("refused_by_servers");
        }
    }

    /** A server that is another, or has other weights, most likely has the newest by now. */
    private void suspectWeights(BackendServer server, Prompt prompt) {
        long named = mGateway.weights().newest(prompt.model());
        server.learnedWeights(prompt.model(), named);
    }

    /** The attempt may have run and has no whole answer. */
    void attemptFailed(Attempt attempt, String reason, boolean cancels) {
        endAttempt(attempt);
        mMayHaveRun = true;
        if (cancels) {
            attempt.cancel();
        }
        attempt.server().failed(mGateway.now());
        mLog.server("attempt_failed", attempt.server(), "reason", reason);
        if (isRepeatable()) {
            repeatOrGiveUp(reason);
        } else {
            giveUp(reason);
        }
    }

    /** Returns whether a failure that a server answered is tried elsewhere. */
    boolean repeatsFailure(Attempt attempt, int status) {
        boolean isPlain = route().repetition() == Route.Repetition.IDEMPOTENT;
        if (!isPlain || !mayRepeat()) {
            return false;
        }
        endAttempt(attempt);
        mMayHaveRun = true;
        mLog.server("failure_repeated", attempt.server(), "status", status);
        attempt();
        return true;
    }

    /** A whole answer that is passed on unchanged. */
    void answered(Attempt attempt, HttpResponse head, ByteBuf body) {
        endAttempt(attempt);
        HttpHeaders headers = HeaderCopy.of(head.headers(), Set.of());
        logDone(head.status().code(), attempt.server().name(), "answered");
        finish();
        mCaller.whole(head.status(), headers, body);
    }

    /** Begins to pass a stream on, or goes on with one that broke off. */
    StreamRelay stream(HttpResponse head) {
        StreamRelay relay = mStream.orElseGet(() -> new StreamRelay(mCaller, mRequest, mGateway));
        mStream = Optional.of(relay);
        relay.serves(head);
        return relay;
    }

    void streamed(Attempt attempt) {
        endAttempt(attempt);
        logDone(HttpResponseStatus.OK.code(), attempt.server().name(), "streamed");
        finish();
        mStream.ifPresent(StreamRelay::end);
    }

    private boolean mayRepeat() {
        boolean hasTime = mGateway.now() < mLimitAt;
        return hasTime
                && mSent < route().maximumAttempts()
                && mGateway.allowance(serviceName()).take(mGateway.entries());
    }

    private void repeatOrGiveUp(String reason) {
        if (mayRepeat()) {
            mGateway.metrics().counted("repeats");
            attempt();
        } else {
            giveUp(reason);
        }
    }

    /**
     * Ends the request without an answer of a backend server, and says truthfully what is known.
     */
    private void giveUp(String reason) {
        boolean isBegun = mStream.filter(StreamRelay::isBegun).isPresent();
        if (isBegun) {
            logDone(0, "", reason);
            finish();
            mCaller.breakOff();
        } else if (mMayHaveRun) {
            refuse(HttpResponseStatus.BAD_GATEWAY, reason);
        } else {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, reason);
        }
    }

    private void expire() {
        if (mDone) {
            return;
        }
        boolean wasSent = mAttempt.filter(Attempt::isSent).isPresent();
        mMayHaveRun |= wasSent;
        mAttempt.ifPresent(
                attempt -> {
                    attempt.cancel();
                    endAttempt(attempt);
                });
        if (mStream.filter(StreamRelay::isBegun).isPresent()) {
            giveUp("time_over");
        } else if (mMayHaveRun) {
            refuse(HttpResponseStatus.GATEWAY_TIMEOUT, "time_over");
        } else {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "time_over");
        }
    }

    private void refuse(HttpResponseStatus status, String reason) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (!mRequest.identifier().isEmpty()) {
            headers.set(mGateway.names().request(), mRequest.identifier());
        }
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            headers.set("Retry-After", RetryAdvice.seconds(mGateway.random()));
        }
        logDone(status.code(), "", reason);
        finish();
        mCaller.whole(status, headers, Unpooled.EMPTY_BUFFER);
    }

    private void endAttempt(Attempt attempt) {
        attempt.end();
        mAttempt = Optional.empty();
    }

    private void finish() {
        mDone = true;
        mTimer.ifPresent(timer -> timer.cancel(false));
        mAttempt.ifPresent(
                attempt -> {
                    attempt.cancel();
                    attempt.end();
                });
        mAttempt = Optional.empty();
        mRequest.body().release();
    }

    private String serviceName() {
        return mService.map(RoutedService::name).orElse("");
    }

    /** Prompts of isolated teams share no cache with others. */
    private String team() {
        Optional<TeamKeys> isolated =
                mAdmitted.flatMap(Admission.Admitted::team).filter(TeamKeys::isolated);
        return isolated.map(team -> "team-" + team.name()).orElse("shared");
    }

    private void logDone(int status, String server, String outcome) {
        mLog.done(
                new RequestLog.End(
                        mAdmitted.map(admitted -> admitted.route().name()).orElse(""),
                        status,
                        outcome,
                        server,
                        mSent,
                        mMayHaveRun || status == HttpResponseStatus.OK.code()));
    }
}
