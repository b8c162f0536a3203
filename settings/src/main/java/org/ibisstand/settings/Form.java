package org.ibisstand.settings;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Demands a form of a text of the settings, or of each text in a list. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Form {
    /** Returns the form that the text must have. */
    TextForm value();
}
