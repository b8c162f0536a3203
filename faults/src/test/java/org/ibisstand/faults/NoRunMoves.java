package org.ibisstand.faults;

import io.netty.handler.codec.http.FullHttpRequest;
import org.ibisstand.gateway.RunMoveProtocol;

/** For services without engines, whose runs never move. */
final class NoRunMoves implements RunMoveProtocol {
    @Override
    public FullHttpRequest copyRequest(String request, String target) {
        throw new UnsupportedOperationException();
    }

    @Override
    public FullHttpRequest stopRequest(String request, String target) {
        throw new UnsupportedOperationException();
    }

    @Override
    public FullHttpRequest releaseRequest(String handle) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Reply parseResponse(int status, byte[] body) {
        throw new UnsupportedOperationException();
    }
}
