package org.ibisstand.base;

/** Every error that ibisstand reports, with its HTTP status and what an operator can do. */
public enum ErrorCode {
    AGENT_LEAVING(503, "The agent is leaving; resend, another agent will serve it."),
    AGENT_UNREACHABLE(503, "No connection to the agent; check the VM and its network."),
    ATTEMPT_TOMBSTONED(503, "The attempt was cancelled before it ran; resend with the same key."),
    BACKEND_FAILED(502, "The backend server answered with an error or closed the connection."),
    BACKEND_UNREACHABLE(503, "The backend server refuses connections; check its process."),
    BODY_TOO_LARGE(413, "Send a smaller body or raise limits.maximum_body_bytes."),
    BOOT_MISMATCH(502, "The agent restarted since; check at the service before a new key."),
    CALLER_GONE(499, "The caller closed its connection; the work was cancelled."),
    CONFIGURATION_CONFLICT(409, "Read the configuration in force and apply on its revision."),
    CONFIGURATION_INVALID(400, "Correct the value at the named path."),
    CONFIGURATION_MISSING(503, "No configuration is in force yet; apply one."),
    CONNECTION_LOST(502, "The connection between two processes broke; see the verdict."),
    DATA_FOLDER_UNUSABLE(500, "Give the process a folder that it can create and write."),
    DEADLINE_EXCEEDED(504, "The deadline passed; see the verdict before a resend."),
    FENCED(409, "An order with a newer fencing number was accepted; drop this one."),
    FRAME_INVALID(400, "A peer sent a damaged or unknown message; check its version."),
    HEADER_TOO_LARGE(431, "Send fewer or shorter headers."),
    IDEMPOTENCY_KEY_EXPIRED(409, "The key is older than its retention; check before a new key."),
    IDEMPOTENCY_KEY_INVALID(400, "Send an Idempotency-Key of 1 to 128 visible characters."),
    IDEMPOTENCY_KEY_REUSED(409, "The key was used with another body; take a new key."),
    INTERNAL(500, "A fault of ibisstand; report it with the log lines of the request."),
    MEMBERSHIP_CONFLICT(409, "Wait for the earlier change or the learner, then repeat."),
    METHOD_NOT_ALLOWED(405, "Use the method that the documentation names."),
    MODEL_UNKNOWN(404, "Name a model of the configuration that the team may use."),
    NO_AGENT_AVAILABLE(503, "No live agent serves this; check agents with 'ibisstand state'."),
    NO_QUORUM(503, "A majority of control members is needed; start or replace members."),
    NOT_FOUND(404, "The path is unknown."),
    NOT_LEADER(503, "Ask the member that leads; clients follow the hint by themselves."),
    OUTCOME_UNKNOWN(502, "The request may have run; check at the service before a new key."),
    OVERLOADED(429, "The deadline cannot be met now; return after the time given."),
    PORT_IN_USE(500, "Another process listens on the port; change the setting."),
    REQUEST_MALFORMED(400, "Correct the request as the message says."),
    REQUEST_TIMEOUT(408, "The request did not arrive in time; send it whole."),
    SERVICE_UNKNOWN(404, "Name a service of the configuration that the team may use."),
    SETTINGS_INVALID(400, "Correct the settings file at the named path."),
    STORAGE_DAMAGED(500, "The log is damaged; replace the member as the operators' page says."),
    STORAGE_FAILED(
            500,
            "A sync failed, which the member repeats, or files cannot be read; check the disk."),
    STORAGE_REFUSED(503, "The disk refuses writes; free space, and the member resumes by itself."),
    STREAM_BROKEN(502, "The answer is incomplete; the verdict says whether to resend."),
    TEAM_OVER_LIMIT(429, "The team is at its limit; return after the time given."),
    TOKEN_INVALID(401, "Send a bearer token that the configuration knows."),
    USAGE(400, "Correct the command line; see 'ibisstand help'.");

    private final int mHttpStatus;
    private final String mAction;

    ErrorCode(int httpStatus, String action) {
        mHttpStatus = httpStatus;
        mAction = action;
    }

    /** Returns the HTTP status that accompanies this code. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns one sentence on what to do about the error. */
    public String action() {
        return mAction;
    }
}
