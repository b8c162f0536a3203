package org.ibisstand.settings;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.json.JsonMapper;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PromptTextTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "nothing",
            quoteCharacter = '"',
            value = {
                "{'prompt':'abc'} | abc",
                "{'messages':[{'role':'system','content':'a'},{'role':'user','content':'b'}]} |"
                        + " system/a/user/b/",
                "{'messages':[{'role':'user','content':[{'type':'text','text':'b'}]}]} | user/b/",
                "{'prompt':5} | nothing",
                "{} | nothing",
            })
    void rendersChatsAndTextsAlike(String json, String text) throws Exception {
        var body = JsonMapper.builder().build().readTree(json.replace('\'', '"'));

        String rendered = PromptText.of(body).map(one -> one.replace('\n', '/')).orElse(null);

        assertThat(rendered).isEqualTo(text);
    }
}
