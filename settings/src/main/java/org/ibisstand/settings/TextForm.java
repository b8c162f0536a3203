package org.ibisstand.settings;

import java.util.regex.Pattern;

/** The forms that texts in settings and configurations can be required to have. */
public enum TextForm {
    NAME("[A-Za-z0-9][A-Za-z0-9._-]{0,63}", "1 to 64 letters, digits, dots, dashes or underscores"),
    MODEL_NAME(
            "[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}",
            "1 to 128 letters, digits, dots, dashes, underscores, colons or slashes"),
    DIGEST("[0-9a-f]{64}", "a SHA-256 digest of 64 hexadecimal characters in lower case"),
    HOST("[A-Za-z0-9.:-]{1,253}", "an IP number or a host name"),
    BASE_URL("https?://[^\\s/?#]+(/[^\\s?#]*[^\\s?#/])?", "an http URL without a slash at its end"),
    PATH_PREFIX("/[^\\s?#]{0,1023}", "a path that begins with a slash"),
    METHOD("[A-Z]{1,32}|\\*", "an HTTP method in upper case, or an asterisk for all"),
    FOLDER("[^\\x00]{1,4096}", "the path of a folder");

    private final Pattern mPattern;
    private final String mDescription;

    TextForm(String pattern, String description) {
        mPattern = Pattern.compile(pattern);
        mDescription = description;
    }

    /** Returns whether a text has this form. */
    public boolean matches(String text) {
        return mPattern.matcher(text).matches();
    }

    /** Returns the form in words, for error messages and the settings page. */
    public String description() {
        return mDescription;
    }
}
