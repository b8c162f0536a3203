package org.ibisstand.faults;

import java.util.List;

/**
 * Says why some faults cannot strike some promises.
 *
 * @param promises the promises
 * @param faults the faults
 * @param reason why no such cell can arise
 */
public record Exclusion(List<Promise> promises, List<Fault> faults, String reason) {
    /** Copies the lists, so that an exclusion never changes. */
    public Exclusion {
        promises = List.copyOf(promises);
        faults = List.copyOf(faults);
    }

    boolean covers(Cell cell) {
        return promises.contains(cell.promise()) && faults.contains(cell.fault());
    }
}
