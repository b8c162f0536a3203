package org.ibisstand.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTest {
    private static final String DIGEST = "ab".repeat(32);
    private static final String ADMINISTRATION =
            "'administration':{'host':'127.0.0.1','port':0,'operator_token_sha256':'"
                    + DIGEST
                    + "'}";
    private static final String ENTRY =
            "{'process':'entry-1','zone':'a','caller':{'host':'127.0.0.1','port':8080},"
                    + ADMINISTRATION
                    + ",'control_addresses':['127.0.0.1:7001','[::1]:7002']}";
    private static final String AGENT =
            "{'agent':'agent-1','zone':'a','wire':{'host':'0.0.0.0','port':0,"
                    + "'advertised_host':'10.0.0.1'},"
                    + ADMINISTRATION
                    + ",'control_addresses':['127.0.0.1:7001'],'backend':{'kind':'engine',"
                    + "'base_url':'http://127.0.0.1:9','models':[{'model':'m',"
                    + "'weights_version':'1'}],'slots':4}}";
    private static final String CONTROL =
            "{'member':'c1','zone':'a','wire':{'host':'127.0.0.1','port':7001},"
                    + ADMINISTRATION
                    + ",'data_folder':'data','members':[{'member':'c1',"
                    + "'address':'127.0.0.1:7001'}]}";

    private final SettingsReader mReader = SettingsReader.create();

    @Test
    void addsDefaultsToWhatTheFileLeavesOut() {
        EntrySettings entry = mReader.readEntry(json(ENTRY));
        AgentSettings agent = mReader.readAgent(json(AGENT));
        ControlSettings control = mReader.readControl(json(CONTROL));

        assertThat(entry.limits().maximumBodyBytes()).isGreaterThan(0);
        assertThat(entry.controlAddresses().get(1)).isEqualTo(new Address("::1", 7002));
        assertThat(agent.wire().advertised(5).toString()).isEqualTo("10.0.0.1:5");
        assertThat(agent.backend()).isInstanceOf(BackendServer.Engine.class);
        assertThat(control.join()).isFalse();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '"',
            value = {
                "'zone':'a' | 'zone':'a','zoen':'b' | $.zoen: unknown key; allowed are",
                "'zone':'a' | 'zone':5 | $.zone: wrong type; needed is a text",
                "'zone':'a', | '' | not JSON",
                "'zone':'a' | 'zone':null | $.zone: null is not allowed",
                "'zone':'a' | 'zone':'a','zone':'b' | Duplicate",
                "'zone':'a' | 'zone':'a b' | $.zone: 'a b' is not allowed; needed is 1 to 64",
                "'port':8080 | 'port':70000 | $.caller.port: 70000 is out of range",
                "'port':8080 | 'port':'8080' | $.caller.port: wrong type; needed is a whole number",
                "'port':8080 | 'port':80.5 | $.caller.port: wrong type; needed is a whole number",
                "'host':'127.0.0.1','port':8080 | 'host':'127.0.0.1' | $.caller.port: missing",
                "127.0.0.1:7001 | 127.0.0.1 | $.control_addresses[0]: '127.0.0.1' is no address",
                "'zone':'a' | 'zone':'a','limits':{'maximum_requests':0} | allowed are 1 to",
                "'zone':'a' | 'zone':'a','limits':5 | $.limits: wrong type; needed is an object",
                "operator_token_sha256':' | operator_token_sha256':'X | 64 hexadecimal characters",
                "'zone':'a', | 'zone':'a'}, | not JSON",
            })
    void namesPathAndAllowedValuesOfAFault(String from, String to, String message) {
        byte[] damaged = json(ENTRY.replace(from, to));

        IbisstandException e =
                assertThrows(IbisstandException.class, () -> mReader.readEntry(damaged));

        assertThat(e.code()).isEqualTo(ErrorCode.SETTINGS_INVALID);
        assertThat(e).hasMessageThat().contains(message);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "engine | motor | known type ids",
                "http://127.0.0.1:9 | ftp://x | $.backend.base_url",
                "'slots':4 | 'events_path':'/e' | $.backend.slots",
            })
    void refusesABackendServerThatIsNotWhole(String from, String to, String message) {
        byte[] damaged = json(AGENT.replace(from, to));

        IbisstandException e =
                assertThrows(IbisstandException.class, () -> mReader.readAgent(damaged));

        assertThat(e).hasMessageThat().contains(message);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'member':'c1','zone' | 'member':'c2','zone' | must name this member 'c2'",
                "'data_folder': | 'timing':{'heartbeat_milliseconds':900},'data_folder': | half of",
                "[{'member':'c1','address':'127.0.0.1:7001'}] | [] | $.members: 0 values",
            })
    void refusesAMemberThatContradictsItself(String from, String to, String message) {
        byte[] damaged = json(CONTROL.replace(from, to));

        IbisstandException e =
                assertThrows(IbisstandException.class, () -> mReader.readControl(damaged));

        assertThat(e).hasMessageThat().contains(message);
    }

    private static byte[] json(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }
}
