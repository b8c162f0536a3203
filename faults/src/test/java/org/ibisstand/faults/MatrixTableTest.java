package org.ibisstand.faults;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MatrixTableTest {
    private static final Path ROOT = Path.of("..");
    private static final Cell CLAIMED =
            new Cell(Promise.AT_MOST_ONCE, Fault.PROCESS_KILLED, Step.AFTER_CLAIM);

    private final MatrixTable mTable = MatrixTable.load();

    @TempDir private Path mFolder;

    @Test
    void everyTestThatTheTableNamesExists() throws IOException {
        for (Proof proof : mTable.proofs()) {
            String[] names = proof.test().split("#");
            String file = "src/test/java/" + names[0].replace('.', '/') + ".java";
            try (Stream<Path> modules = Files.list(ROOT)) {
                List<Path> sources =
                        modules.map(module -> module.resolve(file)).filter(Files::exists).toList();
                assertWithMessage(proof.test()).that(sources).hasSize(1);
                String source = Files.readString(sources.getFirst());
                Pattern method = Pattern.compile("\\bvoid " + names[1] + "\\(");
                assertWithMessage(proof.test()).that(method.matcher(source).find()).isTrue();
            }
        }
    }

    @Test
    void everyProofCoversOnlyCellsThatExist() {
        for (Proof proof : mTable.proofs()) {
            for (Promise promise : proof.promises()) {
                assertWithMessage(proof.test() + " " + promise)
                        .that(promise.steps())
                        .containsAtLeastElementsIn(proof.steps());
            }
        }
    }

    @Test
    void noCellIsBothProvedAndExcluded() {
        for (Cell cell : FaultMatrix.allCells()) {
            boolean proved = !mTable.testsOf(cell).isEmpty();
            boolean excluded = !mTable.reasonsAgainst(cell).isEmpty();
            assertWithMessage(cell.toString()).that(proved && excluded).isFalse();
        }
    }

    @Test
    void everyPromiseMeetsEveryFaultAtEveryStep() {
        List<Cell> cells = FaultMatrix.allCells();
        Set<Step> steps = cells.stream().map(Cell::step).collect(Collectors.toSet());
        assertThat(cells).containsNoDuplicates();
        assertThat(steps).containsExactlyElementsIn(EnumSet.allOf(Step.class));
        for (Promise promise : Promise.values()) {
            long count = cells.stream().filter(cell -> cell.promise() == promise).count();
            assertThat(count).isEqualTo((long) promise.steps().size() * Fault.values().length);
        }
    }

    @Test
    void aCellTakesTheWorstResultOfItsTests() throws IOException {
        assertThat(statusWith("")).isEqualTo(Status.NOT_RUN);
        assertThat(statusWith("<testcase classname='a.B' name='c(int)[1]'/>"))
                .isEqualTo(Status.PROVED);
        assertThat(
                        statusWith(
                                "<testcase classname='a.B' name='c(int)[1]'><failure/></testcase>"
                                        + "<testcase classname='a.B' name='c(int)[2]'/>"))
                .isEqualTo(Status.FAILED);
    }

    private Status statusWith(String cases) throws IOException {
        Path reports = mFolder.resolve("module/target/surefire-reports");
        Files.createDirectories(reports);
        Files.writeString(reports.resolve("TEST-a.B.xml"), "<testsuite>" + cases + "</testsuite>");
        Proof proof =
                new Proof(
                        List.of(Promise.AT_MOST_ONCE),
                        List.of(Fault.PROCESS_KILLED),
                        List.of(Step.AFTER_CLAIM),
                        "a.B#c");
        MatrixTable table = new MatrixTable(List.of(proof), List.of());
        return FaultMatrix.judge(table, TestResults.read(mFolder)).statuses().get(CLAIMED);
    }
}
