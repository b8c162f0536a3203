package org.ibisstand.faults;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Every cell with its status: promise by fault by step, none left out. */
public final class FaultMatrix {
    private final MatrixTable mTable;
    private final Map<Cell, Status> mStatuses;

    private FaultMatrix(MatrixTable table, Map<Cell, Status> statuses) {
        mTable = table;
        mStatuses = statuses;
    }

    /**
     * Judges every cell.
     *
     * @param table which tests prove which cells
     * @param results the results of these tests
     */
    public static FaultMatrix judge(MatrixTable table, TestResults results) {
        Map<Cell, Status> statuses = new LinkedHashMap<>();
        for (Cell cell : allCells()) {
            statuses.put(cell, statusOf(cell, table, results));
        }
        return new FaultMatrix(table, statuses);
    }

    /** Returns all cells there are, in order. */
    public static List<Cell> allCells() {
        List<Cell> cells = new ArrayList<>();
        for (Promise promise : Promise.values()) {
            for (Fault fault : Fault.values()) {
                promise.steps().forEach(step -> cells.add(new Cell(promise, fault, step)));
            }
        }
        return cells;
    }

    /** Returns the table that names the tests. */
    public MatrixTable table() {
        return mTable;
    }

    /** Returns all cells with their status, in order. */
    public Map<Cell, Status> statuses() {
        return mStatuses;
    }

    /** Returns how many cells have each status. */
    public Map<Status, Integer> counts() {
        Map<Status, Integer> counts = new EnumMap<>(Status.class);
        for (Status status : Status.values()) {
            counts.put(status, 0);
        }
        mStatuses.values().forEach(status -> counts.merge(status, 1, Integer::sum));
        return counts;
    }

    private static Status statusOf(Cell cell, MatrixTable table, TestResults results) {
        List<String> tests = table.testsOf(cell);
        if (tests.isEmpty()) {
            return table.reasonsAgainst(cell).isEmpty() ? Status.NOT_COVERED : Status.CANNOT_ARISE;
        }
        List<Optional<Boolean>> passed = tests.stream().map(results::passed).toList();
        if (passed.contains(Optional.of(false))) {
            return Status.FAILED;
        }
        return passed.contains(Optional.<Boolean>empty()) ? Status.NOT_RUN : Status.PROVED;
    }
}
