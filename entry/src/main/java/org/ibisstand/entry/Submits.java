package org.ibisstand.entry;

import com.google.protobuf.ByteString;
import java.time.Instant;
import java.util.Optional;
import org.ibisstand.base.PrefixChain;
import org.ibisstand.routing.AgentView;
import org.ibisstand.wire.message.AttemptIdentifier;
import org.ibisstand.wire.message.OfferRequest;
import org.ibisstand.wire.message.Submit;

/** Writes calls as the messages that agents take. */
final class Submits {
    private Submits() {}

    static Submit of(
            Call call,
            AgentView agent,
            Optional<AttemptIdentifier> attempt,
            Instant now,
            int hopAttempt) {
        Submit.Builder submit =
                Submit.newBuilder()
                        .setRequest(call.request())
                        .setTeam(call.team().name())
                        .setTeamWeight(call.team().weight())
                        .setMethod(call.method())
                        .setPath(call.path())
                        .addAllHeaders(call.headers())
                        .setBody(ByteString.copyFrom(call.body()))
                        .setPriority(call.priorityClass().rank())
                        .setDeadlineMilliseconds(call.timeLeft(now).toMillis())
                        .setIdempotent(call.idempotent())
                        .setStream(call.isStream())
                        .setBoot(agent.boot().value())
                        .setHopAttempt(hopAttempt);
        attempt.ifPresent(submit::setAttempt);
        switch (call.target()) {
            case Call.Target.Model model -> addModel(submit, model);
            case Call.Target.Service service -> submit.setService(service.service());
        }
        return submit.build();
    }

    static OfferRequest offerRequest(Call call, Instant now) {
        OfferRequest.Builder request =
                OfferRequest.newBuilder()
                        .setTeam(call.team().name())
                        .setPriority(call.priorityClass().rank())
                        .setDeadlineMilliseconds(call.timeLeft(now).toMillis());
        switch (call.target()) {
            case Call.Target.Model model -> addModel(request, model);
            case Call.Target.Service service -> request.setService(service.service());
        }
        return request.build();
    }

    private static void addModel(Submit.Builder submit, Call.Target.Model model) {
        PrefixChain chain = model.chain();
        submit.setModel(model.model())
                .setWeightsVersion(model.weightsVersion())
                .setPieceBytes(chain.pieceBytes())
                .setPromptBytes(chain.promptBytes());
        for (long hash : chain.hashes()) {
            submit.addPrefixHashes(hash);
        }
    }

    private static void addModel(OfferRequest.Builder request, Call.Target.Model model) {
        PrefixChain chain = model.chain();
        request.setModel(model.model())
                .setWeightsVersion(model.weightsVersion())
                .setPieceBytes(chain.pieceBytes())
                .setPromptBytes(chain.promptBytes());
        for (long hash : chain.hashes()) {
            request.addPrefixHashes(hash);
        }
    }
}
