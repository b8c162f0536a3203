package org.ibisstand.consensus;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import java.util.List;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.consensus.message.AppendReplyMessage;
import org.ibisstand.consensus.message.AppendRequestMessage;
import org.ibisstand.consensus.message.EntryMessage;
import org.ibisstand.consensus.message.MemberMessage;
import org.ibisstand.consensus.message.SnapshotChunkMessage;
import org.ibisstand.consensus.message.SnapshotReplyMessage;
import org.ibisstand.consensus.message.VoteReplyMessage;
import org.ibisstand.consensus.message.VoteRequestMessage;

/** Encodes messages between members for the wire. */
public final class MessageCodec {
    private MessageCodec() {}

    /**
     * A message with the member that it is meant for.
     *
     * @param receiver the member that may process it
     * @param message the message
     */
    public record Addressed(MemberIdentifier receiver, Message message) {}

    /**
     * Encodes a message for one receiver.
     *
     * @param receiver the member that may process it
     * @param message the message
     */
    public static ByteString encode(MemberIdentifier receiver, Message message) {
        MemberMessage.Builder builder =
                MemberMessage.newBuilder().setReceiver(receiver.value()).setTerm(message.term());
        switch (message) {
            case Message.VoteRequest request -> builder.setVoteRequest(encode(request));
            case Message.VoteReply reply -> builder.setVoteReply(encode(reply));
            case Message.AppendRequest request -> builder.setAppendRequest(encode(request));
            case Message.AppendReply reply -> builder.setAppendReply(encode(reply));
            case Message.SnapshotChunk chunk -> builder.setSnapshotChunk(encode(chunk));
            case Message.SnapshotReply reply -> builder.setSnapshotReply(encode(reply));
        }
        return builder.build().toByteString();
    }

    /**
     * Decodes what {@link #encode} returned.
     *
     * @param bytes the encoded message
     * @throws IbisstandException FRAME_INVALID if the bytes are no such message
     */
    public static Addressed decode(ByteString bytes) {
        try {
            MemberMessage message = MemberMessage.parseFrom(bytes);
            return new Addressed(new MemberIdentifier(message.getReceiver()), body(message));
        } catch (InvalidProtocolBufferException e) {
            throw invalid(e);
        }
    }

    private static Message body(MemberMessage message) throws InvalidProtocolBufferException {
        return switch (message.getBodyCase()) {
            case VOTE_REQUEST -> decode(message.getTerm(), message.getVoteRequest());
            case VOTE_REPLY -> decode(message.getTerm(), message.getVoteReply());
            case APPEND_REQUEST -> decode(message.getTerm(), message.getAppendRequest());
            case APPEND_REPLY -> decode(message.getTerm(), message.getAppendReply());
            case SNAPSHOT_CHUNK -> decode(message.getTerm(), message.getSnapshotChunk());
            case SNAPSHOT_REPLY -> decode(message.getTerm(), message.getSnapshotReply());
            case BODY_NOT_SET -> throw invalid(null);
        };
    }

    private static VoteRequestMessage encode(Message.VoteRequest request) {
        return VoteRequestMessage.newBuilder()
                .setLastIndex(request.lastIndex())
                .setLastTerm(request.lastTerm())
                .setPreliminary(request.preliminary())
                .build();
    }

    private static Message decode(long term, VoteRequestMessage request) {
        return new Message.VoteRequest(
                term, request.getLastIndex(), request.getLastTerm(), request.getPreliminary());
    }

    private static VoteReplyMessage encode(Message.VoteReply reply) {
        return VoteReplyMessage.newBuilder()
                .setAskedTerm(reply.askedTerm())
                .setGranted(reply.granted())
                .setPreliminary(reply.preliminary())
                .build();
    }

    private static Message decode(long term, VoteReplyMessage reply) {
        return new Message.VoteReply(
                term, reply.getAskedTerm(), reply.getGranted(), reply.getPreliminary());
    }

    private static AppendRequestMessage encode(Message.AppendRequest request) {
        AppendRequestMessage.Builder builder =
                AppendRequestMessage.newBuilder()
                        .setPreviousIndex(request.previousIndex())
                        .setPreviousTerm(request.previousTerm())
                        .setCommitIndex(request.commitIndex())
                        .setRound(request.round());
        for (Entry entry : request.entries()) {
            builder.addEntries(
                    EntryMessage.newBuilder()
                            .setIndex(entry.index())
                            .setTerm(entry.term())
                            .setContent(ContentCodec.toMessage(entry.content())));
        }
        return builder.build();
    }

    private static Message decode(long term, AppendRequestMessage request)
            throws InvalidProtocolBufferException {
        List<EntryMessage> encoded = request.getEntriesList();
        Entry[] entries = new Entry[encoded.size()];
        for (int position = 0; position < entries.length; position++) {
            EntryMessage entry = encoded.get(position);
            EntryContent content = ContentCodec.fromMessage(entry.getContent());
            entries[position] = new Entry(entry.getIndex(), entry.getTerm(), content);
        }
        return new Message.AppendRequest(
                term,
                request.getPreviousIndex(),
                request.getPreviousTerm(),
                List.of(entries),
                request.getCommitIndex(),
                request.getRound());
    }

    private static AppendReplyMessage encode(Message.AppendReply reply) {
        return AppendReplyMessage.newBuilder()
                .setAccepted(reply.accepted())
                .setIndex(reply.index())
                .setRound(reply.round())
                .build();
    }

    private static Message decode(long term, AppendReplyMessage reply) {
        return new Message.AppendReply(
                term, reply.getAccepted(), reply.getIndex(), reply.getRound());
    }

    private static SnapshotChunkMessage encode(Message.SnapshotChunk chunk) {
        return SnapshotChunkMessage.newBuilder()
                .setIndex(chunk.index())
                .setIndexTerm(chunk.indexTerm())
                .setOffset(chunk.offset())
                .setTotalBytes(chunk.totalBytes())
                .setData(UnsafeByteOperations.unsafeWrap(chunk.data()))
                .build();
    }

    private static Message decode(long term, SnapshotChunkMessage chunk) {
        return new Message.SnapshotChunk(
                term,
                chunk.getIndex(),
                chunk.getIndexTerm(),
                Math.toIntExact(chunk.getOffset()),
                Math.toIntExact(chunk.getTotalBytes()),
                chunk.getData().toByteArray());
    }

    private static SnapshotReplyMessage encode(Message.SnapshotReply reply) {
        return SnapshotReplyMessage.newBuilder()
                .setIndex(reply.index())
                .setNextOffset(reply.nextOffset())
                .build();
    }

    private static Message decode(long term, SnapshotReplyMessage reply) {
        return new Message.SnapshotReply(
                term, reply.getIndex(), Math.toIntExact(reply.getNextOffset()));
    }

    private static IbisstandException invalid(Exception cause) {
        return new IbisstandException(
                ErrorCode.FRAME_INVALID, "a message between members cannot be read", cause);
    }
}
