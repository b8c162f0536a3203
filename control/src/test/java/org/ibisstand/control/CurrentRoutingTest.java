package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import org.ibisstand.control.message.Command;
import org.ibisstand.control.message.NameWeights;
import org.ibisstand.control.message.PutRouting;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RoutingHistoryTest {
    private final ControlState mState = ControlState.empty();

    @ParameterizedTest
    @ValueSource(longs = {1, 6, 7})
    void aVersionThatIsNotHigherChangesNothing(long version) {
        put(7, "seven");

        assertThat(put(version, "other")).isEqualTo(7);
        assertThat(mState.routing().source().toStringUtf8()).isEqualTo("seven");
    }

    @Test
    void aHigherVersionTakesEffect() {
        put(7, "seven");

        assertThat(put(9, "nine")).isEqualTo(9);
        assertThat(mState.routing().json().toStringUtf8()).isEqualTo("nine");
    }

    @Test
    void weightsNeverGoBack() {
        name("model", 3);

        assertThat(name("model", 2)).isEqualTo(3);
    }

    @Test
    void aSnapshotHoldsRoutingAndWeights() {
        put(7, "seven");
        name("model", 3);
        ControlState restored = ControlState.empty();

        restored.restore(mState.snapshot());

        assertThat(restored.snapshot()).isEqualTo(mState.snapshot());
        assertThat(restored.routing().weights()).containsExactly("model", 3L);
        assertThat(restored.routing().version()).isEqualTo(7);
    }

    private long put(long version, String text) {
        PutRouting put =
                PutRouting.newBuilder()
                        .setVersion(version)
                        .setJson(ByteString.copyFromUtf8(text))
                        .setSource(ByteString.copyFromUtf8(text))
                        .build();
        return mState.apply(Command.newBuilder().setPutRouting(put).build())
                .getRouting()
                .getVersion();
    }

    private long name(String model, long version) {
        NameWeights named = NameWeights.newBuilder().setModel(model).setVersion(version).build();
        return mState.apply(Command.newBuilder().setNameWeights(named).build())
                .getRouting()
                .getVersion();
    }
}
