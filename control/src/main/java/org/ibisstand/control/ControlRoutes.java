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

/** The administration routes of a control member: configuration and members of the group. */
final class ControlRoutes {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String CONFIGURATION = "/configuration";
    private static final String MEMBERS = "/members";
    private static final String REVISION = "revision";
    private static final String MEMBER = "member";
    private static final int MAXIMUM_CHANGE_CHARACTERS = 128;

    private final Executor mControlThread;
    private final ControlComponents mComponents;
    private final ConfigurationReader mReader = ConfigurationReader.create();
    private final int mMaximumConfigurationBytes;

    ControlRoutes(
            Executor controlThread, ControlComponents components, int maximumConfigurationBytes) {
        mControlThread = controlThread;
        mComponents = components;
        mMaximumConfigurationBytes = maximumConfigurationBytes;
    }

    void addTo(AdministrationRoutes routes) {
        routes.route("POST", CONFIGURATION, this::changeConfiguration);
        routes.route("GET", CONFIGURATION, onControlThread(request -> readConfiguration()));
        routes.route(
                "GET",
                CONFIGURATION + "/status",
                onControlThread(request -> readAppliedRevisions()));
        routes.route("GET", MEMBERS, onControlThread(request -> readMembers()));
        routes.route("POST", MEMBERS, onControlThread(this::addMember));
        routes.route("DELETE", MEMBERS, onControlThread(this::removeMember));
    }

    private AdministrationHandler onControlThread(AdministrationHandler handler) {
        return request ->
                CompletableFuture.supplyAsync(() -> handler.handle(request), mControlThread)
                        .thenCompose(answer -> answer);
    }

    /**
     * Validates the configuration on the network thread rather than on the control thread, since
     * that may take long.
     */
    private CompletableFuture<AdministrationResponse> changeConfiguration(
            AdministrationRequest request) {
        ChangeConfiguration change =
                ChangeConfiguration.newBuilder()
                        .setExpectedRevision(expectedRevision(request))
                        .setChange(changeIdentifier(request))
                        .setJson(requireValid(request.body()))
                        .build();
        Command.Builder command = Command.newBuilder().setChangeConfiguration(change);
        return CompletableFuture.supplyAsync(
                        () -> mComponents.proposer().propose(command), mControlThread)
                .thenCompose(result -> result)
                .thenApply(CommandResult::getConfiguration)
                .thenApply(ControlRoutes::toResponse);
    }

    private static AdministrationResponse toResponse(ConfigurationResult result) {
        return switch (result.getResult()) {
            case ACCEPTED -> ok(MAPPER.createObjectNode().put(REVISION, result.getRevision()));
            case CHANGE_REUSED ->
                    AdministrationResponse.error(
                            ErrorCode.CONFIGURATION_CONFLICT,
                            "the change identifier was already used with other content");
            default ->
                    AdministrationResponse.error(
                            ErrorCode.CONFIGURATION_CONFLICT,
                            "the expected revision does not match; revision "
                                    + result.getRevision()
                                    + " is in force");
        };
    }

    private CompletableFuture<AdministrationResponse> readConfiguration() {
        ObjectNode body = MAPPER.createObjectNode();
        body.put(REVISION, mComponents.state().revision());
        body.put("confirmed", mComponents.quorum().isConfirmed());
        body.set("configuration", toJson(mComponents.state().configuration()));
        return CompletableFuture.completedFuture(ok(body));
    }

    private CompletableFuture<AdministrationResponse> readAppliedRevisions() {
        ObjectNode body = MAPPER.createObjectNode();
        body.put(REVISION, mComponents.state().revision());
        body.put("confirmed", mComponents.quorum().isConfirmed());
        ArrayNode processes = body.putArray("processes");
        for (Watchers.AppliedRevision applied : mComponents.watchers().appliedRevisions()) {
            processes
                    .addObject()
                    .put("process", applied.process())
                    .put(REVISION, applied.revision());
        }
        return CompletableFuture.completedFuture(ok(body));
    }

    private CompletableFuture<AdministrationResponse> readMembers() {
        LogStatus status = mComponents.log().status();
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
        return mComponents
                .log()
                .addMember(member, true)
                .thenApply(done -> ok(MAPPER.createObjectNode()));
    }

    private CompletableFuture<AdministrationResponse> removeMember(AdministrationRequest request) {
        return mComponents
                .log()
                .removeMember(request.requireParameter(MEMBER))
                .thenApply(done -> ok(MAPPER.createObjectNode()));
    }

    private ByteString requireValid(byte[] json) {
        if (json.length > mMaximumConfigurationBytes) {
            throw new IbisstandException(
                    ErrorCode.BODY_TOO_LARGE,
                    "the configuration is larger than " + mMaximumConfigurationBytes + " bytes");
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
                    ErrorCode.REQUEST_MALFORMED, "change must have 1 to 128 characters");
        }
        return change;
    }

    private static JsonNode toJson(ByteString json) {
        try {
            return json.isEmpty() ? NullNode.getInstance() : MAPPER.readTree(json.toByteArray());
        } catch (IOException e) {
            throw new IbisstandException(
                    ErrorCode.INTERNAL, "the stored configuration is not valid JSON", e);
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
