package org.ibisstand.fakes;

import java.util.Map;
import java.util.TreeMap;

/**
 * How a fake engine behaves.
 *
 * @param host the IP number to bind
 * @param port the TCP port; zero takes any free port
 * @param models the models that are loaded at the start, with their weights versions
 * @param pieceBytes the bytes of prompt in one cached piece
 * @param cachePieces how many pieces the cache holds
 * @param slots how many requests run at once
 * @param prefillBytesPerMillisecond how fast uncached prompt is computed
 * @param tokenMilliseconds the time between two tokens of one answer
 * @param loadMilliseconds how long new weights take
 * @param honoursFencing whether orders with an old fencing number are refused
 */
public record FakeEngineOptions(
        String host,
        int port,
        Map<String, String> models,
        int pieceBytes,
        int cachePieces,
        int slots,
        double prefillBytesPerMillisecond,
        double tokenMilliseconds,
        long loadMilliseconds,
        boolean honoursFencing) {
    private static final int PIECE_BYTES = 1024;
    private static final int CACHE_PIECES = 512;
    private static final int SLOTS = 8;
    private static final double PREFILL_BYTES_PER_MILLISECOND = 64;
    private static final double TOKEN_MILLISECONDS = 5;
    private static final long LOAD_MILLISECONDS = 600;

    /** Copies the map, so that options never change. */
    public FakeEngineOptions {
        models = Map.copyOf(models);
    }

    /**
     * Returns the options of an engine on any free port of this machine.
     *
     * @param model the model that is loaded
     * @param weightsVersion the version of its weights
     */
    public static FakeEngineOptions serving(String model, String weightsVersion) {
        return new FakeEngineOptions(
                "127.0.0.1",
                0,
                Map.of(model, weightsVersion),
                PIECE_BYTES,
                CACHE_PIECES,
                SLOTS,
                PREFILL_BYTES_PER_MILLISECOND,
                TOKEN_MILLISECONDS,
                LOAD_MILLISECONDS,
                true);
    }

    /** Returns these options with another address. */
    public FakeEngineOptions withAddress(String otherHost, int otherPort) {
        return new FakeEngineOptions(
                otherHost,
                otherPort,
                models,
                pieceBytes,
                cachePieces,
                slots,
                prefillBytesPerMillisecond,
                tokenMilliseconds,
                loadMilliseconds,
                honoursFencing);
    }

    /** Returns these options with one more model. */
    public FakeEngineOptions withModel(String model, String weightsVersion) {
        Map<String, String> more = new TreeMap<>(models);
        more.put(model, weightsVersion);
        return new FakeEngineOptions(
                host,
                port,
                more,
                pieceBytes,
                cachePieces,
                slots,
                prefillBytesPerMillisecond,
                tokenMilliseconds,
                loadMilliseconds,
                honoursFencing);
    }

    /** Returns these options with another cache. */
    public FakeEngineOptions withCache(int otherPieceBytes, int otherCachePieces) {
        return new FakeEngineOptions(
                host,
                port,
                models,
                otherPieceBytes,
                otherCachePieces,
                slots,
                prefillBytesPerMillisecond,
                tokenMilliseconds,
                loadMilliseconds,
                honoursFencing);
    }

    /** Returns these options with other speeds; the times are milliseconds. */
    public FakeEngineOptions withSpeed(
            int otherSlots, double bytesPerMillisecond, double token, long load) {
        return new FakeEngineOptions(
                host,
                port,
                models,
                pieceBytes,
                cachePieces,
                otherSlots,
                bytesPerMillisecond,
                token,
                load,
                honoursFencing);
    }

    /** Returns these options, with orders of old fencing numbers refused or taken. */
    public FakeEngineOptions withFencing(boolean honours) {
        return new FakeEngineOptions(
                host,
                port,
                models,
                pieceBytes,
                cachePieces,
                slots,
                prefillBytesPerMillisecond,
                tokenMilliseconds,
                loadMilliseconds,
                honours);
    }
}
