package org.ibisstand.faults;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.List;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.settings.JsonReader;

/**
 * Which tests prove which cells, and which cells cannot arise.
 *
 * @param proofs the tests
 * @param exclusions what cannot arise
 */
public record MatrixTable(List<Proof> proofs, List<Exclusion> exclusions) {
    private static final String RESOURCE = "fault-matrix.json";

    /** Copies the lists, so that a table never changes. */
    public MatrixTable {
        proofs = List.copyOf(proofs);
        exclusions = List.copyOf(exclusions);
    }

    /** Returns the table of this project. */
    public static MatrixTable load() {
        try (InputStream resource = MatrixTable.class.getResourceAsStream(RESOURCE)) {
            return JsonReader.create()
                    .read(resource.readAllBytes(), MatrixTable.class, ErrorCode.INTERNAL);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the tests named for a cell. */
    public List<String> testsOf(Cell cell) {
        return proofs.stream()
                .filter(proof -> proof.covers(cell))
                .map(Proof::test)
                .distinct()
                .toList();
    }

    /** Returns the reasons why a cell cannot arise; empty if it can. */
    public List<String> reasonsAgainst(Cell cell) {
        return exclusions.stream()
                .filter(exclusion -> exclusion.covers(cell))
                .map(Exclusion::reason)
                .toList();
    }
}
