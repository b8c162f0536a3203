package org.ibisstand.settings;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Bounds a number of the settings, or the size of a list. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Range {
    /** Returns the least value that is allowed. */
    double from();

    /** Returns the greatest value that is allowed. */
    double to();
}
