package org.ibisstand.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses a backend server for one request; performs no I/O. */
final class ServerSelector {
    /** The added cost at a failure share of 1, as a multiple of the cost itself. */
    private static final double FAILURE_FACTOR = 8;

    private final RandomGenerator mRandom;

    ServerSelector(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * A server that the request could be sent to.
     *
     * @param index its index in the list of the calling method
     * @param cost the expected time to its response, in any unit
     * @param failureShare the share of failures among its latest responses, 0 to 1
     * @param backingOff whether it recently failed and is in backoff
     */
    record Candidate(int index, double cost, double failureShare, boolean backingOff) {
        double weightedCost() {
            return (cost + 1) * (1 + FAILURE_FACTOR * failureShare);
        }
    }

    /**
     * Returns the better of two random candidates. This keeps gateways that all see the same report
     * of an idle server from all choosing it at once.
     */
    Optional<Candidate> powerOfTwoChoices(List<Candidate> candidates) {
        List<Candidate> usable = withoutBackingOff(candidates);
        if (usable.size() < 2) {
            return usable.stream().findFirst();
        }
        int first = mRandom.nextInt(usable.size());
        int second = mRandom.nextInt(usable.size() - 1);
        second = second >= first ? second + 1 : second;
        Candidate firstCandidate = usable.get(first);
        Candidate secondCandidate = usable.get(second);
        return Optional.of(
                firstCandidate.weightedCost() <= secondCandidate.weightedCost()
                        ? firstCandidate
                        : secondCandidate);
    }

    /** Returns the candidate with the lowest cost, for costs that already differ. */
    Optional<Candidate> lowestCost(List<Candidate> candidates) {
        return withoutBackingOff(candidates).stream()
                .min(Comparator.comparingDouble(Candidate::weightedCost));
    }

    /** Excludes servers in backoff, unless all are. */
    private static List<Candidate> withoutBackingOff(List<Candidate> candidates) {
        List<Candidate> active = new ArrayList<>(candidates);
        active.removeIf(Candidate::backingOff);
        return active.isEmpty() ? candidates : active;
    }
}
