package org.ibisstand.entry;

/** Names of the headers that ibisstand adds to answers. */
final class CallerHeaders {
    /** Says whether the request ran: not-run, completed or may-have-run. */
    static final String VERDICT = "ibisstand-verdict";

    /** Names the agent that answered. */
    static final String AGENT = "ibisstand-agent";

    /** Names the request in logs. */
    static final String REQUEST = "ibisstand-request";

    /** The revision of the configuration that the entry has in force. */
    static final String REVISION = "ibisstand-revision";

    private CallerHeaders() {}
}
