package org.ibisstand.consensus;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import java.util.List;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.consensus.message.MemberRecord;
import org.ibisstand.consensus.message.MembershipMessage;
import org.ibisstand.consensus.message.SnapshotContent;
import org.ibisstand.consensus.message.StoredContent;
import org.ibisstand.consensus.message.StoredContent.Kind;
import org.ibisstand.storage.LogRecord;
import org.ibisstand.storage.StoredSnapshot;

/** Encodes entries and snapshots for storage. */
final class ContentCodec {
    private ContentCodec() {}

    static LogRecord toRecord(Entry entry) {
        byte[] payload = toMessage(entry.content()).toByteArray();
        return new LogRecord(entry.index(), entry.term(), payload);
    }

    static Entry fromRecord(LogRecord record) {
        try {
            EntryContent content = fromMessage(StoredContent.parseFrom(record.payload()));
            return new Entry(record.index(), record.term(), content);
        } catch (InvalidProtocolBufferException e) {
            throw damaged("record " + record.index(), e);
        }
    }

    static StoredSnapshot toStored(Snapshot snapshot) {
        return new StoredSnapshot(snapshot.index(), snapshot.term(), encode(snapshot));
    }

    static Snapshot fromStored(StoredSnapshot stored) {
        return decode(stored.index(), stored.term(), stored.payload());
    }

    static byte[] encode(Snapshot snapshot) {
        return SnapshotContent.newBuilder()
                .setMembership(toMessage(snapshot.membership()))
                .setState(UnsafeByteOperations.unsafeWrap(snapshot.state()))
                .build()
                .toByteArray();
    }

    static Snapshot decode(long index, long term, byte[] encoded) {
        try {
            SnapshotContent content = SnapshotContent.parseFrom(encoded);
            Membership membership = fromMessage(content.getMembership());
            return new Snapshot(index, term, membership, content.getState().toByteArray());
        } catch (InvalidProtocolBufferException e) {
            throw damaged("the snapshot at " + index, e);
        }
    }

    static StoredContent toMessage(EntryContent content) {
        return switch (content) {
            case EntryContent.NoOperation noOperation ->
                    message(Kind.NO_OPERATION, ByteString.EMPTY);
            case EntryContent.Command command ->
                    message(Kind.COMMAND, UnsafeByteOperations.unsafeWrap(command.data()));
            case EntryContent.MembershipEntry entry ->
                    message(Kind.MEMBERSHIP, toMessage(entry.membership()).toByteString());
        };
    }

    static EntryContent fromMessage(StoredContent content) throws InvalidProtocolBufferException {
        return switch (content.getKind()) {
            case NO_OPERATION -> new EntryContent.NoOperation();
            case COMMAND -> new EntryContent.Command(content.getData().toByteArray());
            case MEMBERSHIP ->
                    new EntryContent.MembershipEntry(
                            fromMessage(MembershipMessage.parseFrom(content.getData())));
            case UNRECOGNIZED ->
                    throw new InvalidProtocolBufferException("an entry of an unknown kind");
        };
    }

    private static StoredContent message(Kind kind, ByteString data) {
        return StoredContent.newBuilder().setKind(kind).setData(data).build();
    }

    private static MembershipMessage toMessage(Membership membership) {
        MembershipMessage.Builder builder =
                MembershipMessage.newBuilder()
                        .setGroup(membership.group())
                        .addAllEstablished(membership.established());
        for (Member member : membership.members().values()) {
            builder.addMembers(
                    MemberRecord.newBuilder()
                            .setMember(member.identifier().value())
                            .setAddress(member.address())
                            .setVoting(member.voting()));
        }
        return builder.build();
    }

    private static Membership fromMessage(MembershipMessage message) {
        List<Member> members =
                message.getMembersList().stream()
                        .map(
                                member ->
                                        new Member(
                                                new MemberIdentifier(member.getMember()),
                                                member.getAddress(),
                                                member.getVoting()))
                        .toList();
        return Membership.of(members, message.getGroup(), message.getEstablishedList());
    }

    private static IbisstandException damaged(String what, Exception cause) {
        return new IbisstandException(
                ErrorCode.STORAGE_DAMAGED, what + " cannot be decoded", cause);
    }
}
