package org.ibisstand.settings;

import java.util.List;

/**
 * A team: one customer of the operators, with its tokens, share and limits.
 *
 * @param name unique among teams
 * @param tokenSha256 the digests of the bearer tokens that name this team, in hexadecimal
 * @param weight the share of this team among others of the same priority class
 * @param maximumConcurrentRequests how many requests each entry serves for the team at once
 * @param requestsPerSecond how many requests a second each entry accepts from the team
 * @param models the models that the team may use
 * @param services the services that the team may use
 */
public record Team(
        @Form(TextForm.NAME) String name,
        @Range(from = 0, to = 16) @Form(TextForm.DIGEST) List<String> tokenSha256,
        @Range(from = 1, to = 1000) int weight,
        @Range(from = 1, to = 1000000) int maximumConcurrentRequests,
        @Range(from = 0.001, to = 1000000) double requestsPerSecond,
        @Range(from = 0, to = 1000) @Form(TextForm.MODEL_NAME) List<String> models,
        @Range(from = 0, to = 1000) @Form(TextForm.NAME) List<String> services) {
    /** Copies the lists, so that a team never changes. */
    public Team {
        tokenSha256 = List.copyOf(tokenSha256);
        models = List.copyOf(models);
        services = List.copyOf(services);
    }
}
