package org.ibisstand.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * The decision which request the head of a response belongs to. Pure computation, performs no I/O.
 *
 * <p>Servers may write a second copy of an earlier response, in part or whole, at any time. A
 * response without an identifier is therefore believed only if the connection carried no other
 * request, and a success never.
 */
sealed interface ResponseOwner {
    /** A status line, which appears inside a head if it follows the rest of another response. */
    Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    /** The response belongs to the request in progress. */
    record ThisRequest() implements ResponseOwner {}

    /**
     * The response belongs to another request; the one to the request in progress may follow.
     *
     * @param identifier the identifier of the other request
     */
    record OtherRequest(String identifier) implements ResponseOwner {}

    /** The response is interim; the final one follows. */
    record Interim() implements ResponseOwner {}

    /**
     * Nothing on the connection can be told apart any more.
     *
     * @param reason the reason as it is logged
     */
    record Unknown(String reason) implements ResponseOwner {}

    /**
     * The exchange in progress on a connection.
     *
     * @param requestIdentifier the identifier of its request; empty if responses need not repeat
     *     one
     * @param isFirst whether the connection carried no exchange before it
     * @param isHeadPossible whether this exchange or one before it is HEAD, so that a response to
     *     another request may have a length and no body
     */
    record Exchange(String requestIdentifier, boolean isFirst, boolean isHeadPossible) {}

    /**
     * Decides by the head of a response.
     *
     * @param head the head
     * @param exchange the exchange in progress
     * @param headerNames the names of the HTTP headers
     */
    static ResponseOwner decide(HttpResponse head, Exchange exchange, HeaderNames headerNames) {
        if (containsOtherHead(head)) {
            return new Unknown("response head inside another");
        }
        if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            return new Unknown("the server switched protocols");
        }
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return new Interim();
        }
        List<String> identifiers = head.headers().getAll(headerNames.requestIdentifier());
        if (identifiers.size() > 1 || head.headers().getAll(headerNames.signature()).size() > 1) {
            return new Unknown("response with the headers of several");
        }
        boolean hasIdentifier = !exchange.requestIdentifier().isEmpty();
        if (hasIdentifier && identifiers.isEmpty()) {
            if (head.status().codeClass() == HttpStatusClass.SUCCESS || !exchange.isFirst()) {
                return new Unknown("response without a request identifier");
            }
        } else if (hasIdentifier && !identifiers.getFirst().equals(exchange.requestIdentifier())) {
            return isEndKnown(head, exchange)
                    ? new OtherRequest(identifiers.getFirst())
                    : new Unknown("response to another request whose end is unknown");
        }
        if (head.headers().contains(HttpHeaderNames.CONTENT_ENCODING) || hasOtherCoding(head)) {
            return new Unknown("response with a content encoding that was not requested");
        }
        return new ThisRequest();
    }

    /** Returns whether the end of the response is known without a close of the connection. */
    static boolean isDelimited(HttpResponse head) {
        return HttpUtil.isTransferEncodingChunked(head)
                || HttpUtil.isContentLengthSet(head)
                || hasNoBody(head);
    }

    private static boolean hasNoBody(HttpResponse head) {
        return head.status().equals(HttpResponseStatus.NO_CONTENT)
                || head.status().equals(HttpResponseStatus.NOT_MODIFIED);
    }

    private static boolean hasOtherCoding(HttpResponse head) {
        return head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
                .anyMatch(coding -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding));
    }

    private static boolean isEndKnown(HttpResponse head, Exchange exchange) {
        return hasNoBody(head)
                || HttpUtil.getContentLength(head, -1L) == 0
                || (isDelimited(head) && !exchange.isHeadPossible());
    }

    private static boolean containsOtherHead(HttpResponse head) {
        if (!head.protocolVersion().protocolName().equals("HTTP")
                || STATUS_LINE.matcher(head.status().reasonPhrase()).find()) {
            return true;
        }
        for (Map.Entry<String, String> header : head.headers()) {
            // A line that is no header is decoded as a name; no header name contains a slash.
            if (header.getKey().indexOf('/') >= 0
                    || STATUS_LINE.matcher(header.getValue()).find()) {
                return true;
            }
        }
        return false;
    }
}
