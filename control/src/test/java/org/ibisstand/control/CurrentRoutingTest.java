package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import org.ibisstand.control.message.Command;
import org.ibisstand.control.message.NameWeights;
import org.ibisstand.control.message.PutRouting;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CurrentRoutingTest {
    private final ControlState mState = ControlState.empty();

    @ParameterizedTest
    @ValueSource(longs = {1, 6, 7})
    void aVersionThatIsNotHigherIsIgnored(long version) {
        putRouting(7, "seven");

        assertThat(putRouting(version, "other")).isEqualTo(7);
        assertThat(mState.routing().source().toStringUtf8()).isEqualTo("seven");
    }

    @Test
    void aHigherVersionTakesEffect() {
        putRouting(7, "seven");

        assertThat(putRouting(9, "nine")).isEqualTo(9);
        assertThat(mState.routing().json().toStringUtf8()).isEqualTo("nine");
    }

    @Test
    void aLowerWeightsVersionIsIgnored() {
        nameWeights("model", 3);

        assertThat(nameWeights("model", 2)).isEqualTo(3);
    }

    @Test
    void aSnapshotRestoresRoutingAndWeights() {
        putRouting(7, "seven");
        nameWeights("model", 3);
        ControlState restored = ControlState.empty();

        restored.restore(mState.snapshot());

        assertThat(restored.snapshot()).isEqualTo(mState.snapshot());
        assertThat(restored.routing().weights()).containsExactly("model", 3L);
        assertThat(restored.routing().version()).isEqualTo(7);
    }

    private long putRouting(long version, String content) {
        PutRouting routing =
                PutRouting.newBuilder()
                        .setVersion(version)
                        .setJson(ByteString.copyFromUtf8(content))
                        .setSource(ByteString.copyFromUtf8(content))
                        .build();
        return mState.apply(Command.newBuilder().setPutRouting(routing).build())
                .getRouting()
                .getVersion();
    }

    private long nameWeights(String model, long version) {
        NameWeights weights = NameWeights.newBuilder().setModel(model).setVersion(version).build();
        return mState.apply(Command.newBuilder().setNameWeights(weights).build())
                .getRouting()
                .getVersion();
    }
}
