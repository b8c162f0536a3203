package org.ibisstand.routing;

/**
 * A model that a backend server serves, with the version of its weights.
 *
 * @param model the name of the model
 * @param weightsVersion the version of the loaded weights
 */
public record ServedModel(String model, String weightsVersion) {}
