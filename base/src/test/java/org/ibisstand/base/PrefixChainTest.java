package org.ibisstand.base;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PrefixChainTest {
    private static final CacheSalt SALT = CacheSalt.of("buyers", "contracts", "1");

    private static PrefixChain chain(CacheSalt salt, String prompt) {
        return PrefixChain.of(salt, prompt.getBytes(StandardCharsets.UTF_8), 4);
    }

    @ParameterizedTest
    @CsvSource({"abcd,abcd,1", "abcdefgh,abcdefgi,1", "abcdefgh,abcdefgh,2", "xbcd,abcd,0"})
    void sharesHashesExactlyAsFarAsThePromptsAgree(String left, String right, int shared) {
        PrefixChain first = chain(SALT, left);
        PrefixChain second = chain(SALT, right);
        int common = 0;
        while (common < Math.min(first.length(), second.length())
                && first.hash(common) == second.hash(common)) {
            common++;
        }
        assertThat(common).isEqualTo(shared);
    }

    @ParameterizedTest
    @CsvSource({"growers,contracts,1", "buyers,summaries,1", "buyers,contracts,2"})
    void sharesNothingUnderAnotherTeamModelOrWeightsVersion(
            String team, String model, String weightsVersion) {
        CacheSalt other = CacheSalt.of(team, model, weightsVersion);
        assertThat(chain(other, "abcdefgh").hash(0)).isNotEqualTo(chain(SALT, "abcdefgh").hash(0));
    }

    @Test
    void leavesOutAPartPieceAtTheEnd() {
        assertThat(chain(SALT, "abcdef").length()).isEqualTo(1);
    }
}
