package org.ibisstand.wire;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.ibisstand.wire.message.End;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.ResponseHead;

/** Compares both ends of a stream over lossy connections with plain concatenation. */
class StreamProperties {
    private static final int BUFFER_BYTES = 1 << 20;

    private final StreamReader mReader = StreamReader.create();
    private final ByteArrayOutputStream mRead = new ByteArrayOutputStream();
    private Optional<Boolean> mWhole = Optional.empty();

    /** Delivers frames until it is cut; what is sent after that is lost. */
    private final class Link implements FrameSender {
        private final List<Frame> mUnderWay = new ArrayList<>();
        private boolean mCut;

        @Override
        public void send(long correlation, Frame.Builder frame) {
            if (!mCut) {
                mUnderWay.add(frame.build());
            }
        }

        void deliver(int count) {
            List<Frame> arrived = mUnderWay.subList(0, Math.min(count, mUnderWay.size()));
            List.copyOf(arrived).forEach(StreamProperties.this::receive);
            arrived.clear();
        }

        void cut() {
            mCut = true;
            mUnderWay.clear();
        }
    }

    private void receive(Frame frame) {
        if (frame.hasChunk()) {
            mReader.accept(frame.getChunk()).ifPresent(mRead::writeBytes);
        }
        if (frame.hasEnd()) {
            mWhole = Optional.of(mReader.isWhole(frame.getEnd()));
        }
    }

    private void restart() {
        mRead.reset();
        mWhole = Optional.empty();
    }

    @Property(seed = "1", tries = 300)
    void answersAreWholeAndInOrderHoweverOftenTheConnectionIsLost(
            @ForAll @Size(max = 40) List<byte[]> parts,
            @ForAll Random random,
            @ForAll @IntRange(max = 5) int cuts) {
        StreamProperties run = new StreamProperties();
        assertThat(run.transfer(parts, random, cuts)).isEqualTo(concatenation(parts));
        assertThat(run.mWhole).isEqualTo(Optional.of(true));
    }

    private byte[] transfer(List<byte[]> parts, Random random, int cuts) {
        restart();
        Link link = new Link();
        OutboundStream stream = OutboundStream.attachedTo(1, BUFFER_BYTES, link, 1);
        stream.head(ResponseHead.newBuilder());
        int left = cuts;
        for (byte[] part : parts) {
            stream.data(part);
            link.deliver(random.nextInt(3));
            if (left > 0 && random.nextInt(4) == 0) {
                left--;
                link = reconnect(stream, link);
            }
            if (random.nextBoolean()) {
                stream.acknowledge(mReader.nextSequence());
            }
        }
        stream.end(End.newBuilder());
        link = reconnect(stream, link);
        link.deliver(Integer.MAX_VALUE);
        return mRead.toByteArray();
    }

    private Link reconnect(OutboundStream stream, Link old) {
        old.cut();
        assertThat(stream.detach(old)).isTrue();
        Link next = new Link();
        stream.resume(next, 1, mReader.nextSequence());
        return next;
    }

    @Property(seed = "1", tries = 300)
    void anAnswerWithALostPartIsNeverTakenForAWholeOne(
            @ForAll @Size(min = 1, max = 20) List<byte[]> parts, @ForAll Random random) {
        List<Frame> frames = new ArrayList<>();
        OutboundStream stream =
                OutboundStream.attachedTo(
                        1, BUFFER_BYTES, (to, frame) -> frames.add(frame.build()), 1);
        stream.head(ResponseHead.newBuilder());
        parts.forEach(stream::data);
        stream.end(End.newBuilder());
        int lost = 1 + random.nextInt(parts.size());
        StreamProperties run = new StreamProperties();
        for (int index = 0; index < frames.size(); index++) {
            if (index != lost) {
                run.receive(frames.get(index));
            }
        }
        assertThat(run.mWhole).isEqualTo(Optional.of(false));
    }

    @Property(seed = "1", tries = 200)
    void chunksThatComeTwiceAreReadOnce(
            @ForAll @Size(max = 20) List<byte[]> parts, @ForAll Random random) {
        StreamProperties run = new StreamProperties();
        FrameSender doubling =
                (to, frame) -> {
                    Frame built = frame.build();
                    run.receive(built);
                    if (random.nextBoolean()) {
                        run.receive(built);
                    }
                };
        OutboundStream stream = OutboundStream.attachedTo(1, BUFFER_BYTES, doubling, 1);
        parts.forEach(stream::data);
        stream.end(End.newBuilder());
        assertThat(run.mRead.toByteArray()).isEqualTo(concatenation(parts));
        assertThat(run.mWhole).isEqualTo(Optional.of(true));
    }

    private static byte[] concatenation(List<byte[]> parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        parts.forEach(all::writeBytes);
        return all.toByteArray();
    }
}
