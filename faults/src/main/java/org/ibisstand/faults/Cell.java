package org.ibisstand.faults;

/**
 * One place of the matrix.
 *
 * @param promise what must hold
 * @param fault what goes wrong
 * @param step when it goes wrong
 */
public record Cell(Promise promise, Fault fault, Step step) {}
