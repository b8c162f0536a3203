package org.ibisstand.routing;

/**
 * A model that a backend server answers for, with the weights that it has loaded.
 *
 * @param model the model's name
 * @param weightsVersion the version of the loaded weights
 */
public record ServedModel(String model, String weightsVersion) {}
