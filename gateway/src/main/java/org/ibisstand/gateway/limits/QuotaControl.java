package org.ibisstand.gateway.limits;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ibisstand.wire.message.QuotaRequest;
import org.ibisstand.wire.message.QuotaResponse;

/** The members of control, as a gateway reaches them to ask for units. */
public interface QuotaControl {
    /** Returns the addresses of all known members, in an order that stays the same. */
    List<String> members();

    /**
     * Sends a request to one member.
     *
     * @param member one of {@link #members()}
     * @param request the request
     * @param listener receives the result on the gateway's event loop, after this method returned;
     *     may never be called
     */
    void ask(String member, QuotaRequest request, Consumer<Result> listener);

    /** What became of a request. */
    sealed interface Result {}

    /**
     * The member answered.
     *
     * @param response the answer
     */
    record Answered(QuotaResponse response) implements Result {}

    /**
     * The member did not count the request.
     *
     * @param leader the address of the member to ask instead, if known
     */
    record NotCounted(Optional<String> leader) implements Result {}

    /** No answer will come; the member may have counted the request. */
    record Lost() implements Result {}
}
