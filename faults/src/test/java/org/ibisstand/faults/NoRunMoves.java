package org.ibisstand.faults;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;
import org.ibisstand.gateway.RunMoves;

/** For services without engines, whose runs never move. */
final class NoRunMoves implements RunMoves {
    @Override
    public FullHttpRequest stopAndCopy(String request, String target) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Optional<StoppedRun> read(int status, byte[] body) {
        throw new UnsupportedOperationException();
    }
}
