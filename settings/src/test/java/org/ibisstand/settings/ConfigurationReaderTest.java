package org.ibisstand.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationReaderTest {
    private static final String VALID =
            "{'teams':["
                    + "{'name':'buyers','token_sha256':['"
                    + "ab".repeat(32)
                    + "'],'weight':3,'maximum_concurrent_requests':50,'requests_per_second':20.5,"
                    + "'models':['contracts'],'services':['desk']},"
                    + "{'name':'growers','token_sha256':['"
                    + "cd".repeat(32)
                    + "'],'weight':1,'maximum_concurrent_requests':5,'requests_per_second':2,"
                    + "'models':[],'services':['desk']}],"
                    + "'models':[{'name':'contracts','weights_version':'7',"
                    + "'priority_class':'short','piece_bytes':1024}],"
                    + "'services':[{'name':'desk','priority_class':'short','calls':["
                    + "{'method':'GET','path_prefix':'/','idempotent':true}]}],"
                    + "'priority_classes':[{'name':'short','rank':0,"
                    + "'first_token_milliseconds':1000,'deadline_milliseconds':30000}]}";

    private final ConfigurationReader mReader = ConfigurationReader.create();

    @Test
    void readsBackWhatItWrites() {
        Configuration configuration = mReader.read(json(VALID));

        assertThat(mReader.read(mReader.write(configuration))).isEqualTo(configuration);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'name':'growers' | 'name':'buyers' | $.teams[1].name: 'buyers' is not unique",
                "'models':['contracts'] | 'models':['x'] | $.teams[0].models[0]: 'x' is unknown;"
                        + " allowed are [contracts]",
                "'services':['desk']}, | 'services':['y']}, | $.teams[0].services[0]: 'y' is",
                "'weight':3 | 'weight':0 | $.teams[0].weight: 0 is out of range; allowed are 1 to",
                "'priority_class':'short','piece | 'priority_class':'z','piece |"
                        + " $.models[0].priority_class: 'z' is unknown; allowed are [short]",
                "'priority_class':'short','calls | 'priority_class':'z','calls |"
                        + " $.services[0].priority_class",
                "'path_prefix':'/' | 'path_prefix':'x' | $.services[0].calls[0].path_prefix",
                "'method':'GET' | 'method':'get' | $.services[0].calls[0].method",
                "'deadline_milliseconds':30000 | 'deadline_milliseconds':5 |"
                        + " at least first_token_milliseconds",
                "'idempotent':true | 'idempotent':'true' | needed is true or false",
                "'idempotent':true | 'idempotent':true,'idem':true |"
                        + " unknown key; allowed are [idempotent",
            })
    void namesPathAndAllowedValuesOfAFault(String from, String to, String message) {
        assertFault(VALID.replace(from, to), message);
    }

    @Test
    void refusesOneTokenForTwoTeams() {
        String doubled = VALID.replace("cd".repeat(32), "ab".repeat(32));

        assertFault(doubled, "$.teams[1].token_sha256[0]: the same token stands at $.teams[0]");
    }

    @Test
    void refusesATokenThatIsNotADigest() {
        assertFault(VALID.replace("cd".repeat(32), "secret"), "$.teams[1].token_sha256[0]");
    }

    private void assertFault(String text, String message) {
        byte[] damaged = json(text);
        IbisstandException e = assertThrows(IbisstandException.class, () -> mReader.read(damaged));
        assertThat(e.code()).isEqualTo(ErrorCode.CONFIGURATION_INVALID);
        assertThat(e).hasMessageThat().contains(message);
    }

    private static byte[] json(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }
}
