package org.ibisstand.settings;

import java.lang.reflect.RecordComponent;
import java.util.List;
import java.util.Optional;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Checks the ranges and forms that records declare, through all nested records and lists. */
final class RecordChecker {
    private final ErrorCode mCode;

    private RecordChecker(ErrorCode code) {
        mCode = code;
    }

    /**
     * Returns a checker.
     *
     * @param code the code to report faults under
     */
    static RecordChecker reporting(ErrorCode code) {
        return new RecordChecker(code);
    }

    /**
     * Checks a record and everything in it.
     *
     * @param value the record to check
     * @throws IbisstandException with the path of the first fault and the allowed values
     */
    void check(Record value) {
        checkRecord("$", value);
    }

    private void checkRecord(String path, Record value) {
        for (RecordComponent component : value.getClass().getRecordComponents()) {
            String componentPath = path + "." + JsonReader.keyOf(component);
            checkValue(componentPath, component, JsonReader.valueOf(component, value));
        }
    }

    private void checkValue(String path, RecordComponent component, Object value) {
        switch (value) {
            // JSON texts cannot hold null here, but records that a program builds can.
            case null -> throw fault(path, "missing; needed is a value");
            case Optional<?> optional ->
                    optional.ifPresent(present -> checkValue(path, component, present));
            case List<?> list -> checkList(path, component, list);
            case Number number -> checkRange(path, component, number.doubleValue(), "");
            case String text -> checkForm(path, component, text);
            case Record nested -> checkRecord(path, nested);
            default -> {}
        }
    }

    private void checkList(String path, RecordComponent component, List<?> list) {
        checkRange(path, component, list.size(), " values");
        for (int index = 0; index < list.size(); index++) {
            String elementPath = path + "[" + index + "]";
            switch (list.get(index)) {
                case String text -> checkForm(elementPath, component, text);
                case Record nested -> checkRecord(elementPath, nested);
                default -> {}
            }
        }
    }

    private void checkRange(String path, RecordComponent component, double number, String unit) {
        Range range = component.getAnnotation(Range.class);
        if (range == null || (number >= range.from() && number <= range.to())) {
            return;
        }
        String allowed = plain(range.from()) + " to " + plain(range.to()) + unit;
        throw fault(path, plain(number) + unit + " is out of range; allowed are " + allowed);
    }

    private void checkForm(String path, RecordComponent component, String text) {
        Form form = component.getAnnotation(Form.class);
        if (form != null && !form.value().matches(text)) {
            throw fault(
                    path, "'" + text + "' is not allowed; needed is " + form.value().description());
        }
    }

    private IbisstandException fault(String path, String message) {
        return new IbisstandException(mCode, path + ": " + message);
    }

    static String plain(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }
}
