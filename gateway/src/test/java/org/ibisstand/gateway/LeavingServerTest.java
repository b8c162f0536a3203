package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.ibisstand.gateway.ScriptedGateway.LAST_CHUNK;
import static org.ibisstand.gateway.ScriptedServer.write;

import java.io.IOException;
import org.ibisstand.settings.Route;
import org.ibisstand.settings.Route.Repetition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers that say in their responses that they leave, while their records call them ready. */
class LeavingServerTest {
    private static final int REQUESTS = 12;
    private static final String LEAVING = "x-leaving: 1\r\n";
    private static final String SIGNED = "x-signature: s\r\n";

    private final ScriptedGateway mGateway = ScriptedGateway.start();

    @AfterEach
    void close() {
        mGateway.close();
    }

    /** A response that says that its server leaves. */
    private enum Response {
        SUCCESS(ScriptedServer.completeResponse(200, SIGNED + LEAVING, "body")),
        CALLER_FAULT(ScriptedServer.completeResponse(404, SIGNED + LEAVING, "")),
        SERVER_FAULT(ScriptedServer.completeResponse(500, SIGNED + LEAVING, "")),
        REFUSAL(ScriptedServer.completeResponse(503, "x-not-executed: 1\r\n" + LEAVING, "")),
        MISDIRECTED(ScriptedServer.completeResponse(421, LEAVING, "")),
        RESPONSE_TO_ANOTHER_REQUEST(
                (request, identifier, connection) -> {
                    ScriptedServer.completeResponse(200, SIGNED + LEAVING, "other")
                            .respond(request, "other", connection);
                    ScriptedServer.completeResponse(200, SIGNED, "body")
                            .respond(request, identifier, connection);
                }),
        CUT_BODY(
                (request, identifier, connection) -> {
                    write(connection, "HTTP/1.1 200 X\r\nx-request: " + identifier + "\r\n");
                    write(connection, SIGNED + LEAVING + "Content-Length: 9\r\n\r\nbody");
                    connection.close();
                });

        private final ScriptedServer.Script mScript;

        Response(ScriptedServer.Script script) {
            mScript = script;
        }
    }

    @ParameterizedTest
    @EnumSource(Response.class)
    void callersAreRefusedUnrunAfterAllServersSaidThatTheyLeave(Response response)
            throws IOException {
        mGateway.serve(ScriptedGateway.patientRoute(Repetition.IDEMPOTENT, 1), response.mScript);
        mGateway.send();

        for (int request = 0; request < REQUESTS; request++) {
            mGateway.repeatRecords();
            String refusal = mGateway.send();

            assertThat(refusal).startsWith("HTTP/1.1 503");
            assertThat(ScriptedServer.header(refusal, "retry-after")).isNotEmpty();
        }
        assertThat(mGateway.requests()).hasSize(1);
    }

    @Test
    void otherServersTakeTheRequestsOfAServerThatLeaves() throws IOException {
        mGateway.serve(
                ScriptedGateway.patientRoute(Repetition.ONCE, 1),
                ScriptedServer.completeResponse(200, SIGNED + LEAVING, "leaves"),
                ScriptedServer.completeResponse(200, SIGNED, "stays"));
        while (mGateway.requests(0).isEmpty()) {
            mGateway.send();
        }

        for (int request = 0; request < REQUESTS; request++) {
            mGateway.repeatRecords();

            assertThat(mGateway.send()).endsWith("\r\n\r\nstays");
        }
        assertThat(mGateway.requests(0)).hasSize(1);
    }

    @Test
    void aStreamThatIsUnderWayAtALeavingServerGoesOn() throws IOException {
        String head = "HTTP/1.1 200 X\r\nx-request: r\r\n" + SIGNED + LEAVING;
        Route route = ScriptedGateway.patientRoute(Repetition.STREAM, 1);
        mGateway.serve(
                route,
                (request, identifier, connection) -> {
                    write(connection, head + "Transfer-Encoding: chunked\r\n\r\n");
                    write(connection, ScriptedGateway.chunk("id: 1\ndata: a\n\n"));
                    write(connection, ScriptedGateway.chunk("id: 2\ndata: b\n\n") + LAST_CHUNK);
                });

        assertThat(ScriptedGateway.unchunk(mGateway.send()))
                .isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "", "later", "11"})
    void otherValuesOfTheHeaderAreNoSign(String value) throws IOException {
        mGateway.serve(
                ScriptedGateway.patientRoute(Repetition.ONCE, 1),
                ScriptedServer.completeResponse(
                        200, SIGNED + "x-leaving: " + value + "\r\n", "body"));

        assertThat(mGateway.send()).startsWith("HTTP/1.1 200");
        assertThat(mGateway.send()).startsWith("HTTP/1.1 200");
    }
}
