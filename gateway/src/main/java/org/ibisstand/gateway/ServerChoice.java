package org.ibisstand.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses a backend server for one request; a decision without input or output. */
final class ServerChoice {
    /** The cost of a failing server grows to this many times the usual. */
    private static final double FAILURE_FACTOR = 8;

    private final RandomGenerator mRandom;

    ServerChoice(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * A server that may take the request.
     *
     * @param server its index in the caller's list
     * @param cost the expected time until it answers, in any unit
     * @param failureShare of its latest answers, 0 to 1
     * @param paused whether it failed just now
     */
    record Candidate(int server, double cost, double failureShare, boolean paused) {
        double weightedCost() {
            return (cost + 1) * (1 + FAILURE_FACTOR * failureShare);
        }
    }

    /**
     * Takes the better of two random candidates. It answers the pattern of many entries that see
     * the same report of an idle server at once and would all choose it.
     */
    Optional<Candidate> ofTwo(List<Candidate> candidates) {
        List<Candidate> usable = usable(candidates);
        if (usable.size() < 2) {
            return usable.stream().findFirst();
        }
        int first = mRandom.nextInt(usable.size());
        int second = mRandom.nextInt(usable.size() - 1);
        second = second >= first ? second + 1 : second;
        Candidate one = usable.get(first);
        Candidate other = usable.get(second);
        return Optional.of(one.weightedCost() <= other.weightedCost() ? one : other);
    }

    /** Takes the candidate of the least cost, for costs that differ between servers by nature. */
    Optional<Candidate> least(List<Candidate> candidates) {
        return usable(candidates).stream().min(Comparator.comparingDouble(Candidate::weightedCost));
    }

    /** Servers that failed just now are used only while there is no other. */
    private static List<Candidate> usable(List<Candidate> candidates) {
        List<Candidate> sound = new ArrayList<>(candidates);
        sound.removeIf(Candidate::paused);
        return sound.isEmpty() ? candidates : sound;
    }
}
