package org.ibisstand.gateway;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.settings.RoutingConfiguration.TeamKeys;

/** Makes what a backend server gets out of what a caller sent. */
final class RequestCopy {
    private final HeaderNames mNames;
    private final CallerRequest mRequest;
    private final Optional<TeamKeys> mTeam;
    private final boolean mHasPrompt;

    RequestCopy(
            HeaderNames names, CallerRequest request, Optional<TeamKeys> team, boolean hasPrompt) {
        mNames = names;
        mRequest = request;
        mTeam = team;
        mHasPrompt = hasPrompt;
    }

    /**
     * What a request for one server says beside what the caller sent.
     *
     * @param server the incarnation that it is meant for
     * @param leftMilliseconds how long the answer is waited for
     * @param lastEvent the last event that the caller has, if a stream goes on
     * @param runSource where the memory of the run is that goes on, if one does
     * @param scope of the KV cache that the request may use
     * @param source where shared parts of the prompt are fetched from
     * @param target the store that keeps the prompt afterwards
     * @param urgency orders the queue of an engine, 0 first
     */
    record Dispatch(
            String server,
            long leftMilliseconds,
            Optional<String> lastEvent,
            Optional<String> runSource,
            CacheScope scope,
            Optional<String> source,
            Optional<String> target,
            int urgency) {}

    /** Returns the request for one server. */
    FullHttpRequest of(Dispatch dispatch) {
        HttpHeaders headers = HeaderCopy.of(mRequest.headers(), dropped());
        headers.set(mNames.deadline(), dispatch.leftMilliseconds());
        headers.set(mNames.expectedServer(), dispatch.server());
        mTeam.ifPresent(team -> headers.set(mNames.team(), team.name()));
        dispatch.lastEvent().ifPresent(event -> headers.set(mNames.lastEvent(), event));
        dispatch.runSource().ifPresent(source -> headers.set(mNames.runSource(), source));
        if (mHasPrompt) {
            headers.set(mNames.cacheSalt(), dispatch.scope().salt());
            headers.set(mNames.priority(), dispatch.urgency());
            dispatch.source().ifPresent(source -> headers.set(mNames.cacheSource(), source));
            dispatch.target().ifPresent(target -> headers.set(mNames.cacheTarget(), target));
            if (dispatch.scope().isShared()) {
                headers.set(mNames.expectedWeights(), dispatch.scope().weights());
            }
        }
        int length = mRequest.body().readableBytes();
        boolean hasBody =
                length > 0
                        || mRequest.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                        || mRequest.method().equals(HttpMethod.POST);
        if (hasBody) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                mRequest.method(),
                mRequest.uri(),
                mRequest.body().retainedDuplicate(),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    private Set<String> dropped() {
        Set<String> dropped = new HashSet<>(mNames.reserved());
        dropped.add(HttpHeaderNames.AUTHORIZATION.toString());
        return dropped;
    }
}
