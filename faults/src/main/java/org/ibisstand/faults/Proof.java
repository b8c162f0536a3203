package org.ibisstand.faults;

import java.util.List;

/**
 * Names the test that proves some cells.
 *
 * @param promises what the test checks
 * @param faults the faults that it injects
 * @param steps the steps that it injects each of them at
 * @param test the class and the method, joined by a number sign
 */
public record Proof(List<Promise> promises, List<Fault> faults, List<Step> steps, String test) {
    /** Copies the lists, so that a proof never changes. */
    public Proof {
        promises = List.copyOf(promises);
        faults = List.copyOf(faults);
        steps = List.copyOf(steps);
    }

    boolean covers(Cell cell) {
        return promises.contains(cell.promise())
                && faults.contains(cell.fault())
                && steps.contains(cell.step());
    }
}
