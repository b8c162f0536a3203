package org.ibisstand.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.ibisstand.administration.AdministrationHandler;
import org.ibisstand.administration.AdministrationRequest;
import org.ibisstand.administration.AdministrationResponse;
import org.ibisstand.administration.AdministrationRoutes;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.control.message.ChangeConfiguration;
import org.ibisstand.control.message.Command;
import org.ibisstand.control.message.CommandResult;
import org.ibisstand.control.message.ConfigurationResult;
import org.ibisstand.settings.Address;
import org.ibisstand.settings.ConfigurationReader;

/** The routes of a control member for operators: configuration and members. */
final class ControlRoutes {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String CONFIGURATION = "/configuration";
    private static final String MEMBERS = "/members";
    private static final String REVISION = "revision";
    private static final String MEMBER = "member";
    private static final int MAXIMUM_CHANGE_CHARACTERS = 128;

    private final Executor mControlThread;
    private final ControlParts mParts;
    private final ConfigurationReader mReader = ConfigurationReader.create();
    private final int mMaximumConfigurationBytes;

    ControlRoutes(Executor controlThread, ControlParts parts, int maximumConfigurationBytes) {
        mControlThread = controlThread;
        mParts = parts;
        mMaximumConfigurationBytes = maximumConfigurationBytes;
    }

    void addTo(AdministrationRoutes routes) {
        routes.route("POST", CONFIGURATION, this::change);
        routes.route("GET", CONFIGURATION, onControlThread(request -> configuration()));
        routes.route("GET", CONFIGURATION + "/status", onControlThread(request -> applied()));
        routes.route("GET", MEMBERS, onControlThread(request -> members()));
        routes.route("POST", MEMBERS, onControlThread(this::addMember));
        routes.route("DELETE", MEMBERS, onControlThread(this::removeMember));
    }

    private AdministrationHandler onControlThread(AdministrationHandler handler) {
        return request ->
                CompletableFuture.supplyAsync(() -> handler.handle(request), mControlThread)
                        .thenCompose(answer -> answer);
    }

    /** The check of the content runs on the traffic thread, since it may be long. */
    private CompletableFuture<AdministrationResponse> change(AdministrationRequest request) {
        ChangeConfiguration change =
                ChangeConfiguration.newBuilder()
                        .setExpectedRevision(expectedRevision(request))
                        .setChange(changeIdentifier(request))
                        .setJson(checked(request.body()))
                        .build();
        Command.Builder command = Command.newBuilder().setChangeConfiguration(change);
        return CompletableFuture.supplyAsync(
                        () -> mParts.proposals().propose(command), mControlThread)
                .thenCompose(result -> result)
                .thenApply(CommandResult::getConfiguration)
                .thenApply(ControlRoutes::answer);
    }

    private static AdministrationResponse answer(ConfigurationResult result) {
        return switch (result.getResult()) {
            case ACCEPTED -> ok(MAPPER.createObjectNode().put(REVISION, result.getRevision()));
            case CHANGE_REUSED ->
                    AdministrationResponse.error(
                            ErrorCode.CONFIGURATION_CONFLICT,
                            "the change identifier was used with other content");
            default ->
                    AdministrationResponse.error(
                            ErrorCode.CONFIGURATION_CONFLICT,
                            "revision " + result.getRevision() + " is in force");
        };
    }

    private CompletableFuture<AdministrationResponse> configuration() {
        ObjectNode body = MAPPER.createObjectNode();
        body.put(REVISION, mParts.state().revision());
        body.put("confirmed", mParts.quorum().confirmed());
        body.set("configuration", tree(mParts.state().configuration()));
        return CompletableFuture.completedFuture(ok(body));
    }

    private CompletableFuture<AdministrationResponse> applied() {
        ObjectNode body = MAPPER.createObjectNode();
        body.put(REVISION, mParts.state().revision());
        body.put("confirmed", mParts.quorum().confirmed());
        ArrayNode processes = body.putArray("processes");
        for (Watchers.Applied one : mParts.watchers().applied()) {
            processes.addObject().put("process", one.process()).put(REVISION, one.revision());
        }
        return CompletableFuture.completedFuture(ok(body));
    }

    private CompletableFuture<AdministrationResponse> members() {
        LogStatus status = mParts.log().status();
        ObjectNode body = MAPPER.createObjectNode();
        body.put("role", status.role().name());
        body.put("term", status.term());
        body.put("leader", status.leaderAddress().orElse(null));
        body.put("committed", status.committedIndex());
        body.put("applied", status.appliedIndex());
        ArrayNode members = body.putArray("members");
        for (LogMember member : status.members()) {
            members.addObject()
                    .put("name", member.name())
                    .put("address", member.address())
                    .put("voter", member.voter());
        }
        return CompletableFuture.completedFuture(ok(body));
    }

    private CompletableFuture<AdministrationResponse> addMember(AdministrationRequest request) {
        Address address = Address.parse(request.requireParameter("address"));
        LogMember member =
                new LogMember(request.requireParameter(MEMBER), address.toString(), false);
        return mParts.log().addMember(member).thenApply(done -> ok(MAPPER.createObjectNode()));
    }

    private CompletableFuture<AdministrationResponse> removeMember(AdministrationRequest request) {
        return mParts.log()
                .removeMember(request.requireParameter(MEMBER))
                .thenApply(done -> ok(MAPPER.createObjectNode()));
    }

    private ByteString checked(byte[] json) {
        if (json.length > mMaximumConfigurationBytes) {
            throw new IbisstandException(
                    ErrorCode.BODY_TOO_LARGE,
                    "at most " + mMaximumConfigurationBytes + " bytes are allowed");
        }
        mReader.read(json);
        return ByteString.copyFrom(json);
    }

    private static long expectedRevision(AdministrationRequest request) {
        String text = request.requireParameter("expected_revision");
        try {
            return Long.parseUnsignedLong(text);
        } catch (NumberFormatException e) {
            throw new IbisstandException(
                    ErrorCode.REQUEST_MALFORMED, "expected_revision is not a number", e);
        }
    }

    private static String changeIdentifier(AdministrationRequest request) {
        String change = request.requireParameter("change");
        if (change.isEmpty() || change.length() > MAXIMUM_CHANGE_CHARACTERS) {
            throw new IbisstandException(
                    ErrorCode.REQUEST_MALFORMED, "change must be 1 to 128 characters");
        }
        return change;
    }

    private static JsonNode tree(ByteString json) {
        try {
            return json.isEmpty() ? NullNode.getInstance() : MAPPER.readTree(json.toByteArray());
        } catch (IOException e) {
            throw new IbisstandException(ErrorCode.INTERNAL, "cannot read the configuration", e);
        }
    }

    private static AdministrationResponse ok(ObjectNode body) {
        try {
            return AdministrationResponse.ok(MAPPER.writeValueAsBytes(body));
        } catch (JsonProcessingException e) {
            throw new IbisstandException(ErrorCode.INTERNAL, "cannot write JSON", e);
        }
    }
}
