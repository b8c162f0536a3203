package org.ibisstand.faults;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;
import org.ibisstand.gateway.RunMoveProtocol;

/** For services without engines, whose runs never move. */
final class NoRunMoves implements RunMoveProtocol {
    @Override
    public FullHttpRequest moveRequest(String request, String target) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Optional<StoppedRun> parseResponse(int status, byte[] body) {
        throw new UnsupportedOperationException();
    }
}
