package org.ibisstand.faults;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** The results of the last test run, from the reports that the build leaves in each module. */
public final class TestResults {
    private final Map<String, Boolean> mPassed;

    private TestResults(Map<String, Boolean> passed) {
        mPassed = passed;
    }

    /**
     * Reads the reports of all modules.
     *
     * @param root the folder of the workspace
     * @throws IbisstandException with INTERNAL if a report cannot be read
     */
    public static TestResults read(Path root) {
        Map<String, Boolean> passed = new TreeMap<>();
        for (Path report : reportsBelow(root)) {
            readReport(report, passed);
        }
        return new TestResults(passed);
    }

    /**
     * Returns whether a test passed with all its arguments; empty if it was not run.
     *
     * @param test the class and the method, joined by a number sign
     */
    public Optional<Boolean> passed(String test) {
        return Optional.ofNullable(mPassed.get(test));
    }

    private static List<Path> reportsBelow(Path root) {
        try (Stream<Path> modules = Files.list(root)) {
            return modules.map(module -> module.resolve("target/surefire-reports"))
                    .filter(Files::isDirectory)
                    .flatMap(TestResults::reportsIn)
                    .sorted()
                    .toList();
        } catch (IOException e) {
            throw unreadable(root, e);
        }
    }

    private static Stream<Path> reportsIn(Path folder) {
        try (Stream<Path> files = Files.list(folder)) {
            return files
                    .filter(file -> file.getFileName().toString().startsWith("TEST-"))
                    .toList()
                    .stream();
        } catch (IOException e) {
            throw unreadable(folder, e);
        }
    }

    private static void readReport(Path report, Map<String, Boolean> passed) {
        try (InputStream stream = Files.newInputStream(report)) {
            XMLInputFactory factory = XMLInputFactory.newFactory();
            factory.setProperty(XMLInputFactory.SUPPORT_DTD, false);
            XMLStreamReader reader = factory.createXMLStreamReader(stream);
            String test = "";
            while (reader.hasNext()) {
                if (reader.next() != XMLStreamConstants.START_ELEMENT) {
                    continue;
                }
                switch (reader.getLocalName()) {
                    case "testcase" -> {
                        test = nameOf(reader);
                        passed.putIfAbsent(test, true);
                    }
                    case "failure", "error", "skipped" -> passed.put(test, false);
                    default -> {}
                }
            }
        } catch (IOException | XMLStreamException e) {
            throw unreadable(report, e);
        }
    }

    /** Arguments follow the method's name in brackets. */
    private static String nameOf(XMLStreamReader reader) {
        String method = reader.getAttributeValue(null, "name").split("[\\[({]", 2)[0].strip();
        return reader.getAttributeValue(null, "classname") + "#" + method;
    }

    private static IbisstandException unreadable(Path path, Exception cause) {
        return new IbisstandException(ErrorCode.INTERNAL, "cannot read " + path, cause);
    }
}
