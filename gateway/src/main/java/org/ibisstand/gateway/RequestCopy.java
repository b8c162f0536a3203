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
    private final ForwardingHeaders mNames;
    private final CallerRequest mRequest;
    private final Optional<TeamKeys> mTeam;
    private final String mSalt;

    RequestCopy(
            ForwardingHeaders names, CallerRequest request, Optional<TeamKeys> team, String salt) {
        mNames = names;
        mRequest = request;
        mTeam = team;
        mSalt = salt;
    }

    /**
     * Returns the request for one server.
     *
     * @param server the incarnation that it is meant for
     * @param leftMilliseconds how long the answer is waited for
     * @param lastEvent the last event that the caller has, if a stream goes on
     */
    FullHttpRequest forServer(String server, long leftMilliseconds, Optional<String> lastEvent) {
        HttpHeaders headers = HeaderCopy.of(mRequest.headers(), dropped());
        headers.set(mNames.deadline(), leftMilliseconds);
        headers.set(mNames.expectedServer(), server);
        headers.set(mNames.cacheSalt(), mSalt);
        mTeam.ifPresent(team -> headers.set(mNames.team(), team.name()));
        lastEvent.ifPresent(event -> headers.set(mNames.lastEvent(), event));
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
