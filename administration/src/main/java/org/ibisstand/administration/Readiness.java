package org.ibisstand.administration;

import java.util.Optional;

/** Says whether a process wants new work from the platform's balancer. */
@FunctionalInterface
public interface Readiness {
    /** Returns why the process is not ready, or nothing when it is. */
    Optional<String> reasonAgainst();
}
