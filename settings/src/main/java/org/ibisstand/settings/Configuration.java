package org.ibisstand.settings;

import java.util.List;
import java.util.Optional;

/**
 * What operators decide: teams, models, services and priority classes, the same for all processes.
 *
 * @param teams who may call
 * @param models which models are served, with the weights in force
 * @param services which plain services are served
 * @param priorityClasses the classes that requests are served in
 */
public record Configuration(
        @Range(from = 0, to = 100000) List<Team> teams,
        @Range(from = 0, to = 1000) List<Model> models,
        @Range(from = 0, to = 1000) List<Service> services,
        @Range(from = 0, to = 16) List<PriorityClass> priorityClasses) {
    /** Copies the lists, so that a configuration never changes. */
    public Configuration {
        teams = List.copyOf(teams);
        models = List.copyOf(models);
        services = List.copyOf(services);
        priorityClasses = List.copyOf(priorityClasses);
    }

    /**
     * Finds the team that a token belongs to.
     *
     * @param tokenDigest the SHA-256 digest of the token in hexadecimal
     */
    public Optional<Team> teamOfToken(String tokenDigest) {
        return teams.stream().filter(team -> team.tokenSha256().contains(tokenDigest)).findFirst();
    }

    /** Finds a model by its name. */
    public Optional<Model> model(String name) {
        return models.stream().filter(model -> model.name().equals(name)).findFirst();
    }

    /** Finds a service by its name. */
    public Optional<Service> service(String name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }

    /** Finds a priority class by its name. */
    public Optional<PriorityClass> priorityClass(String name) {
        return priorityClasses.stream().filter(one -> one.name().equals(name)).findFirst();
    }
}
