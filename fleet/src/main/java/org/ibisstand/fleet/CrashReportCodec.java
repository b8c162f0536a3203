package org.ibisstand.fleet;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import com.google.protobuf.UnknownFieldSet.Field;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.ibisstand.base.LogLine;
import org.ibisstand.fleet.CrashReport.Acquittal;
import org.ibisstand.fleet.CrashReport.Crash;
import org.ibisstand.fleet.CrashReport.Incarnation;
import org.ibisstand.fleet.CrashReport.Suspect;
import org.ibisstand.wire.message.EngineNotices;

/**
 * Encodes crash reports in a field of {@link EngineNotices} that earlier versions skip. wire.proto
 * describes the format.
 */
public final class CrashReportCodec {
    private static final int REPORT = 2;

    private static final int REPORT_CRASHES = 1;
    private static final int REPORT_ACQUITTALS = 2;
    private static final int REPORT_COMPLETE = 3;

    private static final int CRASH_SERVER = 1;
    private static final int CRASH_BORN = 2;
    private static final int CRASH_AGE = 3;
    private static final int CRASH_SUSPECTS = 4;

    private static final int SUSPECT_PARTS = 1;
    private static final int SUSPECT_SENT_AGE = 2;

    private static final int ACQUITTAL_PART = 1;
    private static final int ACQUITTAL_AGE = 2;

    private CrashReportCodec() {}

    /** Returns notices that contain only a crash report, with some of what the sender knows. */
    public static EngineNotices encode(CrashReport report) {
        return encode(report, false);
    }

    /** Returns notices that contain only a crash report, with all that the sender knows. */
    public static EngineNotices encodeComplete(CrashReport report) {
        return encode(report, true);
    }

    /** Returns whether notices contain a report with all that their sender knows. */
    public static boolean isComplete(EngineNotices notices) {
        try {
            return lastNumber(
                            UnknownFieldSet.parseFrom(
                                    lastBytes(notices.getUnknownFields(), REPORT)),
                            REPORT_COMPLETE)
                    != 0;
        } catch (InvalidProtocolBufferException e) {
            LogLine.warning("crash_report_unreadable").cause(e).write();
            return false;
        }
    }

    private static EngineNotices encode(CrashReport report, boolean isComplete) {
        Field.Builder crashes = Field.newBuilder();
        report.crashes().forEach(crash -> crashes.addLengthDelimited(encode(crash)));
        Field.Builder acquittals = Field.newBuilder();
        report.acquittals().forEach(acquittal -> acquittals.addLengthDelimited(encode(acquittal)));
        ByteString message =
                UnknownFieldSet.newBuilder()
                        .addField(REPORT_CRASHES, crashes.build())
                        .addField(REPORT_ACQUITTALS, acquittals.build())
                        .addField(REPORT_COMPLETE, number(isComplete ? 1 : 0))
                        .build()
                        .toByteString();
        return EngineNotices.newBuilder()
                .setUnknownFields(
                        UnknownFieldSet.newBuilder().addField(REPORT, bytes(message)).build())
                .build();
    }

    /** Returns the crash report of notices; empty if they contain none that can be read. */
    public static Optional<CrashReport> decode(EngineNotices notices) {
        if (!notices.getUnknownFields().hasField(REPORT)) {
            return Optional.empty();
        }
        try {
            UnknownFieldSet message =
                    UnknownFieldSet.parseFrom(lastBytes(notices.getUnknownFields(), REPORT));
            List<Crash> crashes = new ArrayList<>();
            for (UnknownFieldSet crash : parseAll(message, REPORT_CRASHES)) {
                crashes.add(decodeCrash(crash));
            }
            List<Acquittal> acquittals =
                    parseAll(message, REPORT_ACQUITTALS).stream()
                            .map(CrashReportCodec::decodeAcquittal)
                            .toList();
            return Optional.of(new CrashReport(crashes, acquittals));
        } catch (InvalidProtocolBufferException e) {
            LogLine.warning("crash_report_unreadable").cause(e).write();
            return Optional.empty();
        }
    }

    private static ByteString encode(Crash crash) {
        Field.Builder suspects = Field.newBuilder();
        crash.suspects().forEach(suspect -> suspects.addLengthDelimited(encode(suspect)));
        return UnknownFieldSet.newBuilder()
                .addField(CRASH_SERVER, text(crash.engine().server()))
                .addField(CRASH_BORN, number(crash.engine().bornMilliseconds()))
                .addField(CRASH_AGE, number(crash.ageMilliseconds()))
                .addField(CRASH_SUSPECTS, suspects.build())
                .build()
                .toByteString();
    }

    private static ByteString encode(Suspect suspect) {
        Field.Builder parts = Field.newBuilder();
        suspect.parts().forEach(part -> parts.addLengthDelimited(ByteString.copyFromUtf8(part)));
        return UnknownFieldSet.newBuilder()
                .addField(SUSPECT_PARTS, parts.build())
                .addField(SUSPECT_SENT_AGE, number(suspect.sentAgeMilliseconds()))
                .build()
                .toByteString();
    }

    private static ByteString encode(Acquittal acquittal) {
        return UnknownFieldSet.newBuilder()
                .addField(ACQUITTAL_PART, text(acquittal.part()))
                .addField(ACQUITTAL_AGE, number(acquittal.ageMilliseconds()))
                .build()
                .toByteString();
    }

    private static Crash decodeCrash(UnknownFieldSet crash) throws InvalidProtocolBufferException {
        Set<Suspect> suspects = new HashSet<>();
        for (UnknownFieldSet suspect : parseAll(crash, CRASH_SUSPECTS)) {
            suspects.add(
                    new Suspect(
                            suspect.getField(SUSPECT_PARTS).getLengthDelimitedList().stream()
                                    .map(ByteString::toStringUtf8)
                                    .collect(Collectors.toSet()),
                            Math.max(0, lastNumber(suspect, SUSPECT_SENT_AGE))));
        }
        return new Crash(
                new Incarnation(lastText(crash, CRASH_SERVER), lastNumber(crash, CRASH_BORN)),
                Math.max(0, lastNumber(crash, CRASH_AGE)),
                suspects);
    }

    private static Acquittal decodeAcquittal(UnknownFieldSet acquittal) {
        return new Acquittal(
                lastText(acquittal, ACQUITTAL_PART),
                Math.max(0, lastNumber(acquittal, ACQUITTAL_AGE)));
    }

    private static List<UnknownFieldSet> parseAll(UnknownFieldSet message, int field)
            throws InvalidProtocolBufferException {
        List<UnknownFieldSet> messages = new ArrayList<>();
        for (ByteString bytes : message.getField(field).getLengthDelimitedList()) {
            messages.add(UnknownFieldSet.parseFrom(bytes));
        }
        return messages;
    }

    private static Field text(String text) {
        return bytes(ByteString.copyFromUtf8(text));
    }

    private static Field bytes(ByteString bytes) {
        return Field.newBuilder().addLengthDelimited(bytes).build();
    }

    private static Field number(long number) {
        return Field.newBuilder().addVarint(number).build();
    }

    private static String lastText(UnknownFieldSet message, int field) {
        return lastBytes(message, field).toStringUtf8();
    }

    private static ByteString lastBytes(UnknownFieldSet message, int field) {
        List<ByteString> values = message.getField(field).getLengthDelimitedList();
        return values.isEmpty() ? ByteString.EMPTY : values.getLast();
    }

    private static long lastNumber(UnknownFieldSet message, int field) {
        List<Long> values = message.getField(field).getVarintList();
        return values.isEmpty() ? 0 : values.getLast();
    }
}
