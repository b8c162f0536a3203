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

/** Builds the requests to backend servers from the request of a caller. */
final class BackendRequestBuilder {
    private final HeaderNames mHeaderNames;
    private final CallerRequest mRequest;
    private final Optional<TeamKeys> mTeam;
    private final boolean mHasPrompt;

    BackendRequestBuilder(
            HeaderNames headerNames,
            CallerRequest request,
            Optional<TeamKeys> team,
            boolean hasPrompt) {
        mHeaderNames = headerNames;
        mRequest = request;
        mTeam = team;
        mHasPrompt = hasPrompt;
    }

    /**
     * The values that the gateway adds to the request for one server.
     *
     * @param expectedServer the name of the server that the request is for
     * @param remainingMilliseconds how long the gateway waits for the response
     * @param lastEvent the identifier of the last event that the caller has, if a stream resumes
     * @param runSource the location of the run's KV cache, if a run resumes
     * @param scope the scope of the KV cache that the request may use
     * @param cacheSource the address to fetch the shared prefix from
     * @param cacheTarget the address of the store that saves the prefix afterwards
     * @param priority the priority in the queue of an engine, 0 first
     */
    record Dispatch(
            String expectedServer,
            long remainingMilliseconds,
            Optional<String> lastEvent,
            Optional<String> runSource,
            CacheScope scope,
            Optional<String> cacheSource,
            Optional<String> cacheTarget,
            int priority) {}

    /** Returns the request for one server. */
    FullHttpRequest build(Dispatch dispatch) {
        HttpHeaders headers = EndToEndHeaders.copyOf(mRequest.headers(), excludedHeaders());
        headers.set(mHeaderNames.deadline(), dispatch.remainingMilliseconds());
        headers.set(mHeaderNames.expectedServer(), dispatch.expectedServer());
        mTeam.ifPresent(team -> headers.set(mHeaderNames.team(), team.name()));
        dispatch.lastEvent().ifPresent(event -> headers.set(mHeaderNames.lastEvent(), event));
        dispatch.runSource().ifPresent(source -> headers.set(mHeaderNames.runSource(), source));
        if (mHasPrompt) {
            headers.set(mHeaderNames.cacheSalt(), dispatch.scope().salt());
            headers.set(mHeaderNames.priority(), dispatch.priority());
            dispatch.cacheSource()
                    .ifPresent(source -> headers.set(mHeaderNames.cacheSource(), source));
            dispatch.cacheTarget()
                    .ifPresent(target -> headers.set(mHeaderNames.cacheTarget(), target));
            if (dispatch.scope().isShareable()) {
                headers.set(mHeaderNames.expectedWeights(), dispatch.scope().weights());
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

    private Set<String> excludedHeaders() {
        Set<String> excluded = new HashSet<>(mHeaderNames.reserved());
        excluded.add(HttpHeaderNames.AUTHORIZATION.toString());
        return excluded;
    }
}
