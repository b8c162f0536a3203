package org.ibisstand.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import java.util.List;
import java.util.Set;
import org.ibisstand.fleet.CrashReport.Acquittal;
import org.ibisstand.fleet.CrashReport.Crash;
import org.ibisstand.fleet.CrashReport.Incarnation;
import org.ibisstand.fleet.CrashReport.Suspect;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.EngineNotices;
import org.junit.jupiter.api.Test;

class CrashReportCodecTest {
    private static final CrashReport REPORT =
            new CrashReport(
                    List.of(
                            new Crash(
                                    new Incarnation("a", 1_234),
                                    56,
                                    Set.of(
                                            new Suspect(Set.of("p", "q"), 60),
                                            new Suspect(Set.of("p"), 99))),
                            new Crash(
                                    new Incarnation("b", 0),
                                    0,
                                    Set.of(new Suspect(Set.of("p"), 0)))),
                    List.of(new Acquittal("r", 78)));

    @Test
    void aReportStaysTheSameOverTheWire() throws InvalidProtocolBufferException {
        EngineNotices received =
                EngineNotices.parseFrom(CrashReportCodec.encode(REPORT).toByteString());

        assertThat(CrashReportCodec.decode(received)).hasValue(REPORT);
    }

    @Test
    void anEmptyReportIsStillAReport() throws InvalidProtocolBufferException {
        EngineNotices received =
                EngineNotices.parseFrom(CrashReportCodec.encode(CrashReport.EMPTY).toByteString());

        assertThat(CrashReportCodec.decode(received)).hasValue(CrashReport.EMPTY);
    }

    @Test
    void earlierVersionsReadNoEngineInAReport() {
        assertThat(CrashReportCodec.encode(REPORT).getEnginesList()).isEmpty();
    }

    @Test
    void noticesOfEarlierVersionsContainNoReport() {
        EngineNotices notices =
                EngineNotices.newBuilder()
                        .addEngines(EngineNotice.newBuilder().setAddress("10.0.0.1:1"))
                        .build();

        assertThat(CrashReportCodec.decode(notices)).isEmpty();
    }

    @Test
    void anUnreadableReportIsSkipped() {
        UnknownFieldSet.Field bytes =
                UnknownFieldSet.Field.newBuilder()
                        .addLengthDelimited(ByteString.copyFromUtf8("\u007f\u007f"))
                        .build();
        EngineNotices notices =
                EngineNotices.newBuilder()
                        .setUnknownFields(UnknownFieldSet.newBuilder().addField(2, bytes).build())
                        .build();

        assertThat(CrashReportCodec.decode(notices)).isEmpty();
    }
}
