package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.ibisstand.control.message.ConfigurationResult;
import org.ibisstand.control.message.ConfigurationResult.Result;
import org.junit.jupiter.api.Test;

class ConfigurationHistoryProperties {
    /** A change sent by an operator; a second one with the same identifier is a resend. */
    private record SentChange(
            int operator, int expectedRevision, int content, boolean isAfterRestart) {
        private String identifier() {
            return "change" + operator;
        }

        private String json() {
            return "content" + content;
        }
    }

    /** A reference model that keeps every revision and the first result of every change. */
    private static final class ReferenceHistory {
        private final List<String> mRevisions = new ArrayList<>(List.of(""));
        private final Map<String, SentChange> mFirstChanges = new HashMap<>();
        private final Map<String, ConfigurationResult> mFirstResults = new HashMap<>();

        private ConfigurationResult apply(SentChange change) {
            SentChange first = mFirstChanges.get(change.identifier());
            if (first != null) {
                boolean isSameChange =
                        first.expectedRevision() == change.expectedRevision()
                                && first.content() == change.content();
                return isSameChange
                        ? mFirstResults.get(change.identifier())
                        : result(Result.CHANGE_REUSED);
            }
            ConfigurationResult result = decide(change);
            mFirstChanges.put(change.identifier(), change);
            mFirstResults.put(change.identifier(), result);
            return result;
        }

        private ConfigurationResult decide(SentChange change) {
            int currentRevision = mRevisions.size() - 1;
            String latest = mRevisions.get(currentRevision);
            if (change.expectedRevision() == currentRevision) {
                mRevisions.add(change.json());
                return result(Result.ACCEPTED);
            }
            boolean isCurrentContent =
                    change.expectedRevision() == currentRevision - 1
                            && change.json().equals(latest);
            return result(isCurrentContent ? Result.ACCEPTED : Result.CONFLICT);
        }

        private ConfigurationResult result(Result result) {
            return ConfigurationResult.newBuilder()
                    .setResult(result)
                    .setRevision(mRevisions.size() - 1)
                    .build();
        }
    }

    @Property(seed = "1")
    void changesGetTheResultsOfAModelThatKeepsAllRevisions(
            @ForAll("changes") List<SentChange> changes) {
        ControlState state = ControlState.empty();
        ReferenceHistory reference = new ReferenceHistory();
        long revision = 0;
        for (SentChange change : changes) {
            if (change.isAfterRestart()) {
                state = TestCommands.restoreFromSnapshot(state);
            }
            ConfigurationResult result =
                    state.apply(
                                    TestCommands.changeConfiguration(
                                            change.expectedRevision(),
                                            change.identifier(),
                                            change.json()))
                            .getConfiguration();
            assertThat(result).isEqualTo(reference.apply(change));
            assertThat(state.revision()).isAtLeast(revision);
            assertThat(state.configuration().toStringUtf8())
                    .isEqualTo(reference.mRevisions.get((int) state.revision()));
            revision = state.revision();
        }
    }

    @Provide
    Arbitrary<List<SentChange>> changes() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 9),
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.of(false, false, false, true))
                .as(SentChange::new)
                .list()
                .ofMaxSize(60);
    }

    @Test
    void ofTwoOperatorsUnderOneNumberOnlyTheFirstWins() {
        ControlState state = ControlState.empty();
        Result first = applyChange(state, 0, "first", "a");
        Result second = applyChange(state, 0, "second", "b");
        assertThat(first).isEqualTo(Result.ACCEPTED);
        assertThat(second).isEqualTo(Result.CONFLICT);
        assertThat(state.configuration().toStringUtf8()).isEqualTo("a");
    }

    @Test
    void aResendThatComesAfterAnotherChangeRevertsNothing() {
        ControlState state = ControlState.empty();
        applyChange(state, 0, "first", "a");
        applyChange(state, 1, "second", "b");
        assertThat(applyChange(state, 0, "first", "a")).isEqualTo(Result.ACCEPTED);
        assertThat(state.revision()).isEqualTo(2);
        assertThat(state.configuration().toStringUtf8()).isEqualTo("b");
    }

    @Test
    void aResendOfAChangeThatIsNoLongerRememberedIsAConflict() {
        ControlState state = ControlState.empty();
        applyChange(state, 0, "first", "a");
        for (int change = 1; change <= ConfigurationHistory.MAXIMUM_REMEMBERED_CHANGES; change++) {
            applyChange(state, change, "change" + change, "content" + change);
        }
        assertThat(applyChange(state, 0, "first", "a")).isEqualTo(Result.CONFLICT);
    }

    private static Result applyChange(
            ControlState state, long expectedRevision, String change, String json) {
        return state.apply(TestCommands.changeConfiguration(expectedRevision, change, json))
                .getConfiguration()
                .getResult();
    }
}
