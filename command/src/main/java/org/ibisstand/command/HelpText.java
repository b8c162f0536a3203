package org.ibisstand.command;

import java.util.Optional;

/** What the executable says about itself. */
final class HelpText {
    static final String TEXT =
            """
            usage: ibisstand COMMAND

            daemons, until SIGTERM or SIGINT; a second signal ends them at once:
              entry --settings FILE       takes requests of callers
              agent --settings FILE       stands before one backend server
              control --settings FILE     one member of the replicated control group

            operators; CONTROL is one or more administration addresses, host:port,host:port:
              check-settings KIND FILE    KIND is entry, agent, control or configuration
              configuration apply FILE --control CONTROL
                                          [--expected-revision N] [--change IDENTIFIER]
              configuration show --control CONTROL
              configuration status --control CONTROL
              state --address ADDRESS
              explain REQUEST FILE...     says from logs what happened to a request
              member add NAME WIRE_ADDRESS --control CONTROL
              member remove NAME --control CONTROL
              member status --control CONTROL
              token hash                  reads a token from standard input
            The operators' token comes from --token-file FILE or IBISSTAND_OPERATOR_TOKEN.

            stand-ins for trials:
              fake-engine --port PORT --model NAME=VERSION [--model ...] [--host HOST]
                          [--piece-bytes N] [--cache-pieces N] [--slots N]
                          [--prefill-bytes-per-millisecond X] [--token-milliseconds X]
                          [--load-milliseconds N] [--ignore-fencing]
              fake-service --port PORT [--host HOST]

              help, version

            exit codes:
              0 done   1 refused or failed   2 wrong command line
              3 port, folder or disk cannot be used   4 settings or configuration invalid
              5 no answer or no quorum   128+N ended by a second signal N
            """;

    private static final String DEVELOPMENT = "development";

    private HelpText() {}

    /** Returns name and version of the product. */
    static String version() {
        String version =
                Optional.ofNullable(HelpText.class.getPackage().getImplementationVersion())
                        .orElse(DEVELOPMENT);
        return "ibisstand " + version;
    }
}
