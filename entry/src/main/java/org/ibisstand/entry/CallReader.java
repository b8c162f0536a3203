package org.ibisstand.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Clock;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.base.CacheSalt;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.PrefixChain;
import org.ibisstand.settings.Configuration;
import org.ibisstand.settings.Model;
import org.ibisstand.settings.PriorityClass;
import org.ibisstand.settings.Service;
import org.ibisstand.settings.Team;
import org.ibisstand.wire.message.Header;

/** Turns HTTP requests into calls, or says with a code why one is refused. */
final class CallReader {
    private static final String BEARER = "Bearer ";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String SERVICES = "/services/";
    private static final String CHAT = "/v1/chat/completions";
    private static final String COMPLETIONS = "/v1/completions";
    private static final int LONGEST_KEY = 128;
    // Headers that belong to one connection, name the caller's secret, or are set anew.
    private static final Set<String> DROPPED_HEADERS =
            Set.of(
                    "authorization",
                    "connection",
                    "content-length",
                    "expect",
                    "host",
                    "http2-settings",
                    "keep-alive",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "x-http2-scheme",
                    "x-http2-stream-id",
                    "x-http2-stream-weight",
                    "x-http2-path",
                    "x-request-id");

    private final Clock mClock;
    private final PromptReader mPrompts;

    CallReader(Clock clock, PromptReader prompts) {
        mClock = clock;
        mPrompts = prompts;
    }

    /**
     * Reads a request.
     *
     * @param identifier the name of the request
     * @param request the whole request
     * @param state what the entry serves by
     * @throws IbisstandException if the request is refused
     */
    Call read(String identifier, FullHttpRequest request, EntryState state) {
        Team team = team(request, state);
        Configuration configuration = state.configuration().orElseThrow(CallReader::unconfigured);
        String path = pathOf(request.uri());
        if (path.equals(CHAT) || path.equals(COMPLETIONS)) {
            requirePost(request);
            return modelCall(identifier, request, path, team, configuration);
        }
        if (path.startsWith(SERVICES)) {
            return serviceCall(identifier, request, team, configuration);
        }
        throw new IbisstandException(ErrorCode.NOT_FOUND, "nothing is served at " + path);
    }

    private static Team team(FullHttpRequest request, EntryState state) {
        if (state.configuration().isEmpty()) {
            throw unconfigured();
        }
        String authorization = request.headers().get(HttpHeaderNames.AUTHORIZATION, "");
        if (!authorization.startsWith(BEARER)) {
            throw new IbisstandException(ErrorCode.TOKEN_INVALID, "a bearer token is required");
        }
        return state.teamOf(authorization.substring(BEARER.length()).strip())
                .orElseThrow(
                        () ->
                                new IbisstandException(
                                        ErrorCode.TOKEN_INVALID, "the token is unknown"));
    }

    private static void requirePost(FullHttpRequest request) {
        if (!request.method().equals(HttpMethod.POST)) {
            throw new IbisstandException(ErrorCode.METHOD_NOT_ALLOWED, "POST is required");
        }
    }

    private Call modelCall(
            String identifier,
            FullHttpRequest request,
            String path,
            Team team,
            Configuration configuration) {
        ObjectNode body = mPrompts.read(ByteBufUtil.getBytes(request.content()));
        Model model = model(mPrompts.model(body), team, configuration);
        boolean stream = mPrompts.isStream(body);
        CacheSalt salt = CacheSalt.of(team.name(), model.name(), model.weightsVersion());
        PrefixChain chain = PrefixChain.of(salt, mPrompts.prompt(body), model.pieceBytes());
        Instant now = mClock.instant();
        PriorityClass priorityClass = priorityClass(model.priorityClass(), configuration);
        return new Call(
                identifier,
                team,
                new Call.Target.Model(model.name(), model.weightsVersion(), chain, stream),
                HttpMethod.POST.name(),
                path,
                List.of(header("content-type", "application/json")),
                mPrompts.forEngine(body, salt, stream),
                priorityClass,
                now,
                deadline(priorityClass, now),
                true,
                Optional.empty());
    }

    private Call serviceCall(
            String identifier, FullHttpRequest request, Team team, Configuration configuration) {
        String below = request.uri().substring(SERVICES.length());
        int slash = below.indexOf('/');
        String name = pathOf(slash < 0 ? below : below.substring(0, slash));
        String path = slash < 0 ? "/" : below.substring(slash);
        Service service = service(name, team, configuration);
        Instant now = mClock.instant();
        PriorityClass priorityClass = priorityClass(service.priorityClass(), configuration);
        String method = request.method().name();
        return new Call(
                identifier,
                team,
                new Call.Target.Service(service.name()),
                method,
                path,
                endToEndHeaders(request),
                ByteBufUtil.getBytes(request.content()),
                priorityClass,
                now,
                deadline(priorityClass, now),
                service.isIdempotent(method, pathOf(path)),
                idempotencyKey(request));
    }

    private static Model model(String name, Team team, Configuration configuration) {
        return configuration
                .model(name)
                .filter(model -> team.models().contains(model.name()))
                .orElseThrow(
                        () ->
                                new IbisstandException(
                                        ErrorCode.MODEL_UNKNOWN,
                                        "the team uses no model of this name"));
    }

    private static Service service(String name, Team team, Configuration configuration) {
        return configuration
                .service(name)
                .filter(service -> team.services().contains(service.name()))
                .orElseThrow(
                        () ->
                                new IbisstandException(
                                        ErrorCode.SERVICE_UNKNOWN,
                                        "the team uses no service of this name"));
    }

    private static PriorityClass priorityClass(String name, Configuration configuration) {
        return configuration
                .priorityClass(name)
                .orElseThrow(
                        () ->
                                new IbisstandException(
                                        ErrorCode.INTERNAL, "no priority class " + name));
    }

    private static Instant deadline(PriorityClass priorityClass, Instant received) {
        return received.plusMillis(priorityClass.deadlineMilliseconds());
    }

    private static Optional<String> idempotencyKey(FullHttpRequest request) {
        String key = request.headers().get(IDEMPOTENCY_KEY);
        if (key == null) {
            return Optional.empty();
        }
        boolean visible = key.chars().allMatch(one -> one > ' ' && one <= '~');
        if (key.isEmpty() || key.length() > LONGEST_KEY || !visible) {
            throw new IbisstandException(
                    ErrorCode.IDEMPOTENCY_KEY_INVALID, "the key has no valid form");
        }
        return Optional.of(key);
    }

    private static List<Header> endToEndHeaders(FullHttpRequest request) {
        return request.headers().entries().stream()
                .filter(entry -> !isDropped(entry))
                .map(entry -> header(entry.getKey(), entry.getValue()))
                .toList();
    }

    private static boolean isDropped(Map.Entry<String, String> entry) {
        return DROPPED_HEADERS.contains(entry.getKey().toLowerCase(Locale.ROOT));
    }

    private static Header header(String name, String value) {
        return Header.newBuilder().setName(name).setValue(value).build();
    }

    private static String pathOf(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    private static IbisstandException unconfigured() {
        return new IbisstandException(
                ErrorCode.CONFIGURATION_MISSING, "the entry has no configuration yet");
    }
}
