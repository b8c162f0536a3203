package org.ibisstand.fakes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.ibisstand.base.CacheSalt;
import org.ibisstand.base.PrefixChain;

/**
 * The answers of fake engines, which follow from prompt and weights so that tests can check them.
 */
public final class FakeAnswer {
    private FakeAnswer() {}

    /**
     * Returns the tokens of an answer.
     *
     * @param prompt the rendered prompt
     * @param model the name of the model
     * @param weightsVersion the version of the weights that answer
     * @param count how many tokens
     */
    public static List<String> tokens(
            String prompt, String model, String weightsVersion, int count) {
        CacheSalt salt = CacheSalt.of(prompt, model, weightsVersion);
        byte[] seed = salt.value().getBytes(StandardCharsets.UTF_8);
        String mark = Long.toHexString(PrefixChain.of(salt, seed, seed.length).hash(0));
        List<String> tokens = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            tokens.add(index == 0 ? model + "@" + weightsVersion + ":" + mark : " w" + index);
        }
        return tokens;
    }

    /**
     * Returns the whole text of an answer.
     *
     * @param prompt the rendered prompt
     * @param model the name of the model
     * @param weightsVersion the version of the weights that answer
     * @param count how many tokens
     */
    public static String text(String prompt, String model, String weightsVersion, int count) {
        return String.join("", tokens(prompt, model, weightsVersion, count));
    }
}
