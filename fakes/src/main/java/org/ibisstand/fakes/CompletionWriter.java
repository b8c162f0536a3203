package org.ibisstand.fakes;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Clock;

/** Writes one answer in the usual JSON forms, whole or as server-sent events. */
final class CompletionWriter implements EngineJob.Listener {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final int BYTES_IN_TOKEN = 4;
    private static final int OK = 200;

    private final HttpExchange mExchange;
    private final CompletionRequest mRequest;
    private final String mWeightsVersion;
    private final int mPieceBytes;
    private final int mPromptBytes;
    private final Clock mClock;
    private final StringBuilder mText = new StringBuilder();
    private int mTokens;

    CompletionWriter(
            HttpExchange exchange,
            CompletionRequest request,
            String weightsVersion,
            int pieceBytes,
            int promptBytes,
            Clock clock) {
        mExchange = exchange;
        mRequest = request;
        mWeightsVersion = weightsVersion;
        mPieceBytes = pieceBytes;
        mPromptBytes = promptBytes;
        mClock = clock;
    }

    @Override
    public void token(String token, int heldPieces) {
        if (mRequest.stream()) {
            if (mTokens == 0) {
                mExchange.startStream("text/event-stream");
            }
            sendEvent(chunk(token));
        }
        mTokens++;
        mText.append(token);
    }

    @Override
    public void complete(int heldPieces) {
        if (!mRequest.stream()) {
            mExchange.respondText(OK, HttpExchange.JSON, whole(heldPieces).toString());
            return;
        }
        sendEvent(lastChunk());
        if (mRequest.usageInStream()) {
            ObjectNode event = head(true);
            event.putArray("choices");
            event.set("usage", usage(heldPieces));
            sendEvent(event);
        }
        mExchange.write("data: [DONE]\n\n");
        mExchange.endStream();
    }

    private ObjectNode chunk(String token) {
        ObjectNode event = head(true);
        ObjectNode choice = event.putArray("choices").addObject();
        choice.put("index", 0);
        if (mRequest.chat()) {
            choice.putObject("delta").put("content", token);
        } else {
            choice.put("text", token);
        }
        choice.putNull("finish_reason");
        return event;
    }

    private ObjectNode lastChunk() {
        ObjectNode event = head(true);
        ObjectNode choice = event.putArray("choices").addObject();
        choice.put("index", 0);
        if (mRequest.chat()) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", "length");
        return event;
    }

    private ObjectNode whole(int heldPieces) {
        ObjectNode answer = head(false);
        ObjectNode choice = answer.putArray("choices").addObject();
        choice.put("index", 0);
        if (mRequest.chat()) {
            ObjectNode message = choice.putObject("message");
            message.put("role", "assistant").put("content", mText.toString());
        } else {
            choice.put("text", mText.toString());
        }
        choice.put("finish_reason", "length");
        answer.set("usage", usage(heldPieces));
        return answer;
    }

    private ObjectNode head(boolean chunk) {
        String chatObject = chunk ? "chat.completion.chunk" : "chat.completion";
        ObjectNode head = MAPPER.createObjectNode();
        head.put("id", "cmpl-" + Integer.toHexString(mRequest.prompt().hashCode()));
        head.put("object", mRequest.chat() ? chatObject : "text_completion");
        head.put("created", mClock.instant().getEpochSecond());
        head.put("model", mRequest.model());
        head.put("system_fingerprint", mWeightsVersion);
        return head;
    }

    private ObjectNode usage(int heldPieces) {
        int promptTokens = Math.ceilDiv(mPromptBytes, BYTES_IN_TOKEN);
        ObjectNode usage = MAPPER.createObjectNode();
        usage.put("prompt_tokens", promptTokens);
        usage.put("completion_tokens", mTokens);
        usage.put("total_tokens", promptTokens + mTokens);
        usage.putObject("prompt_tokens_details")
                .put("cached_tokens", heldPieces * mPieceBytes / BYTES_IN_TOKEN);
        return usage;
    }

    private void sendEvent(ObjectNode event) {
        mExchange.write("data: " + event + "\n\n");
    }
}
