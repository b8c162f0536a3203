package org.ibisstand.settings;

/**
 * A model with the weights that must answer for it.
 *
 * @param name the name that callers send
 * @param weightsVersion the version of the weights in force
 * @param priorityClass the class of requests that name none
 * @param pieceBytes the bytes of prompt that one unit of cache knowledge stands for
 */
public record Model(
        @Form(TextForm.MODEL_NAME) String name,
        @Form(TextForm.NAME) String weightsVersion,
        @Form(TextForm.NAME) String priorityClass,
        @Range(from = 16, to = 1048576) int pieceBytes) {}
