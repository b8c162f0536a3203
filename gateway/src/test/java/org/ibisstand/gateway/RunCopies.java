package org.ibisstand.gateway;

import static org.ibisstand.gateway.ScriptedServer.completeResponse;

import java.io.IOException;
import java.net.Socket;
import org.ibisstand.gateway.RequestTimeline.Step;

/** The copies of runs that continue at one simulated engine. */
final class RunCopies implements ScriptedServer.Script {
    private static final String COPY_CALL = "POST /copy/";
    private static final String RELEASE_CALL = "DELETE /handle/";

    /** Begins the handle of a copy; the rest is the request behind the run. */
    private static final String HANDLE_PREFIX = "copy-";

    private final VersionedFleet mFleet;
    private final VersionedEngine mEngine;

    RunCopies(VersionedFleet fleet, VersionedEngine engine) {
        mFleet = fleet;
        mEngine = engine;
    }

    static boolean isCall(String request) {
        return request.startsWith(COPY_CALL) || request.startsWith(RELEASE_CALL);
    }

    /** Returns the response to a call that stopped a run, or did not find it. */
    static ScriptedServer.Script stopResponse(String handle, boolean isCopied) {
        return completeResponse(handle.isEmpty() ? 404 : isCopied ? 200 : 503, "", handle);
    }

    /** Copies a run, or frees a copy, whose run is then not stopped. */
    @Override
    public void respond(String request, String identifier, Socket connection) throws IOException {
        if (request.startsWith(RELEASE_CALL)) {
            String handle = request.substring(RELEASE_CALL.length(), request.indexOf(" HTTP"));
            String released = handle.replace(HANDLE_PREFIX, "");
            if (handle.startsWith(HANDLE_PREFIX) && isRunning(released)) {
                mFleet.timeline(released).add(Step.NOT_STOPPED);
            }
            completeResponse(200, "", "").respond(request, identifier, connection);
        } else if (isRunning(identifier)) {
            completeResponse(200, "", HANDLE_PREFIX + identifier)
                    .respond(request, identifier, connection);
        } else {
            mFleet.timeline(identifier).add(Step.NOT_STOPPED);
            completeResponse(404, "", "").respond(request, identifier, connection);
        }
    }

    private boolean isRunning(String request) {
        synchronized (mFleet) {
            return mFleet.engineOf(request).filter(mEngine::equals).isPresent();
        }
    }
}
