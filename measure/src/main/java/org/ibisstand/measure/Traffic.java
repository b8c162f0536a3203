package org.ibisstand.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.ibisstand.base.PrefixChain;

/** Generates the same requests for every contender from one seed. */
final class Traffic {
    /** The bytes in a piece of the prefix cache: 2,048 tokens of four bytes each. */
    static final int PIECE_BYTES = 8192;

    private static final double[] TEAM_SHARES = {0.3, 0.22, 0.16, 0.1, 0.08, 0.06, 0.05, 0.03};
    private static final double CREST_FACTOR = 3;
    private static final double BURST_FACTOR = 1.6;
    private static final double SWING = 0.35;
    private static final double SWING_PERIOD_MILLISECONDS = 9_000;
    private static final double BURST_EVERY_MILLISECONDS = 8_000;
    private static final double STRAGGLER_DEADLINE_FACTOR = 2;
    private static final double SERVICE_MILLISECONDS = 70;

    private final Workload mWorkload;
    private final Scenario mScenario;
    private final SplittableRandom mRandom;
    private final SplittableRandom mBursts;
    private final double mLoad;
    private final List<Request> mRequests = new ArrayList<>();
    private double mBurstStart;
    private double mBurstEnd;
    private long mUnique;

    private Traffic(Workload workload, Scenario scenario, long seed, double load) {
        mWorkload = workload;
        mScenario = scenario;
        mRandom = new SplittableRandom(seed);
        mBursts = mRandom.split();
        mLoad = load;
    }

    /** Returns all requests of a run in the order of their arrival. */
    static List<Request> generate(Workload workload, Scenario scenario, long seed, double load) {
        return new Traffic(workload, scenario, seed, load).generate();
    }

    private List<Request> generate() {
        double total =
                mWorkload.longPerSecond()
                        + mWorkload.shortPerSecond()
                        + mWorkload.lookupsPerSecond()
                        + mWorkload.ordersPerSecond();
        double peak = total * mLoad * CREST_FACTOR;
        double time = 0;
        while (time < Scenario.END_MILLISECONDS) {
            time += -Math.log(1 - mRandom.nextDouble()) * 1000 / peak;
            double rate = total * mLoad * factor(time);
            boolean accepted = mRandom.nextDouble() < rate / peak;
            // Draws happen whether or not a kind is sent, so that scenarios share all the rest.
            Request request = request(time, kind(total));
            if (accepted && mScenario.kinds().contains(request.kind())) {
                mRequests.add(request);
            }
        }
        return mRequests;
    }

    private double factor(double time) {
        if (time > mBurstEnd) {
            mBurstStart = time + -Math.log(1 - mBursts.nextDouble()) * BURST_EVERY_MILLISECONDS;
            mBurstEnd = mBurstStart + 1000 + 2000 * mBursts.nextDouble();
        }
        if (mScenario.crest() && Scenario.inCrest(time)) {
            return CREST_FACTOR;
        }
        if (Scenario.isCalm(time)) {
            return 1;
        }
        double swing = 1 + SWING * Math.sin(2 * Math.PI * time / SWING_PERIOD_MILLISECONDS);
        return time >= mBurstStart ? swing * BURST_FACTOR : swing;
    }

    private Request.Kind kind(double total) {
        double draw = mRandom.nextDouble() * total;
        if (draw < mWorkload.longPerSecond()) {
            return Request.Kind.LONG;
        }
        if (draw < mWorkload.longPerSecond() + mWorkload.shortPerSecond()) {
            return Request.Kind.SHORT;
        }
        boolean order = draw > total - mWorkload.ordersPerSecond();
        return order ? Request.Kind.ORDER : Request.Kind.LOOKUP;
    }

    private Request request(double time, Request.Kind kind) {
        SplittableRandom random = mRandom.split();
        int team = team(random);
        return switch (kind) {
            case LONG -> longRequest(time, team, random);
            case SHORT -> shortRequest(time, team, random);
            case LOOKUP, ORDER -> call(time, kind, team, random);
        };
    }

    private Request longRequest(double time, int team, SplittableRandom random) {
        Chain chain = new Chain(team);
        int document = shifted(time, zipf(random, mWorkload.documents()), mWorkload.documents());
        int section = zipf(random, mWorkload.sections());
        chain.add(1_000 + document, mWorkload.documentPieces());
        chain.add(10_000 + section, mWorkload.sectionPieces() + section % 3);
        boolean straggler = random.nextDouble() < mWorkload.stragglerShare();
        chain.addUnique(straggler ? mWorkload.stragglerPieces() : random.nextInt(2));
        int tokens = straggler ? 600 : 80 + random.nextInt(140);
        int tail = (int) (PIECE_BYTES * (0.2 + 0.6 * random.nextDouble()));
        PrefixChain prompt = chain.end(tail);
        double cold = prompt.promptBytes() / EngineModel.BYTES_PER_MILLISECOND;
        double allowance = straggler ? STRAGGLER_DEADLINE_FACTOR * cold : 0;
        double deadline = mWorkload.longDeadline() + allowance;
        return add(time, Request.Kind.LONG, team, prompt, tokens, deadline);
    }

    private Request shortRequest(double time, int team, SplittableRandom random) {
        Chain chain = new Chain(team);
        int topic = shifted(time, zipf(random, mWorkload.topics()), mWorkload.topics());
        chain.add(100_000 + topic, mWorkload.topicPieces());
        int tokens = 30 + random.nextInt(60);
        int tail = (int) (PIECE_BYTES * (0.1 + 0.3 * random.nextDouble()));
        return add(
                time, Request.Kind.SHORT, team, chain.end(tail), tokens, mWorkload.shortDeadline());
    }

    private Request call(double time, Request.Kind kind, int team, SplittableRandom random) {
        PrefixChain none = PrefixChain.ofHashes(new long[0], 1, 0);
        int work = (int) (SERVICE_MILLISECONDS * (0.5 + random.nextDouble()));
        return add(time, kind, team, none, work, 1000);
    }

    private Request add(
            double time,
            Request.Kind kind,
            int team,
            PrefixChain chain,
            int tokens,
            double deadline) {
        long identifier = mRequests.size() + 1L;
        return new Request(identifier, time, kind, "team" + team, chain, tokens, deadline);
    }

    /** After the shift prefixes that were never sent before are the popular ones. */
    private int shifted(double time, int popularity, int count) {
        boolean after = mScenario.shift() && time >= Scenario.EVENT_MILLISECONDS;
        return after ? count + popularity : popularity;
    }

    private static int team(SplittableRandom random) {
        double draw = random.nextDouble();
        for (int team = 0; team < TEAM_SHARES.length; team++) {
            draw -= TEAM_SHARES[team];
            if (draw < 0) {
                return team;
            }
        }
        return 0;
    }

    private static int zipf(SplittableRandom random, int count) {
        double sum = 0;
        for (int rank = 1; rank <= count; rank++) {
            sum += 1.0 / rank;
        }
        double draw = random.nextDouble() * sum;
        for (int rank = 1; rank <= count; rank++) {
            draw -= 1.0 / rank;
            if (draw < 0) {
                return rank - 1;
            }
        }
        return 0;
    }

    /** Builds the hashes of one prompt level by level. */
    private final class Chain {
        private final List<Long> mHashes = new ArrayList<>();
        private long mHash;

        Chain(int team) {
            mHash = mix((team + 1L) * 0x9E3779B97F4A7C15L);
            add(0, mWorkload.teamPieces());
        }

        void add(long level, int pieces) {
            for (int piece = 0; piece < pieces; piece++) {
                mHash = mix(mHash * 31 + level * 1009 + piece);
                mHashes.add(mHash);
            }
        }

        void addUnique(int pieces) {
            add(1_000_000_000L + mUnique++, pieces);
        }

        PrefixChain end(int tailBytes) {
            long[] hashes = mHashes.stream().mapToLong(Long::longValue).toArray();
            return PrefixChain.ofHashes(
                    hashes, PIECE_BYTES, hashes.length * PIECE_BYTES + tailBytes);
        }

        private static long mix(long value) {
            long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
            mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
            return mixed ^ (mixed >>> 31);
        }
    }
}
