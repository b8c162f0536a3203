package org.ibisstand.settings;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Optional;

/** The backend server beside an agent; the key {@code kind} names its variant. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = BackendServer.Engine.class, name = "engine"),
    @JsonSubTypes.Type(value = BackendServer.PlainService.class, name = "plain_service")
})
public sealed interface BackendServer {
    /** Returns the URL that paths are appended to. */
    String baseUrl();

    /** Returns how many requests the backend server works on at once. */
    int slots();

    /**
     * A model engine.
     *
     * @param baseUrl the URL that paths are appended to
     * @param models what the engine serves when the agent starts
     * @param slots how many requests are inside the engine at once
     * @param eventsPath the path of the engine's cache events, if it publishes them
     */
    record Engine(
            @Form(TextForm.BASE_URL) String baseUrl,
            @Range(from = 0, to = 64) List<ServedModel> models,
            @Range(from = 1, to = 4096) int slots,
            @Form(TextForm.PATH_PREFIX) Optional<String> eventsPath)
            implements BackendServer {
        /** Copies the list, so that settings never change. */
        public Engine {
            models = List.copyOf(models);
        }
    }

    /**
     * A plain service.
     *
     * @param baseUrl the URL that paths are appended to
     * @param services the names of the services that the server answers for
     * @param slots how many requests are inside the server at once
     */
    record PlainService(
            @Form(TextForm.BASE_URL) String baseUrl,
            @Range(from = 1, to = 64) @Form(TextForm.NAME) List<String> services,
            @Range(from = 1, to = 4096) int slots)
            implements BackendServer {
        /** Copies the list, so that settings never change. */
        public PlainService {
            services = List.copyOf(services);
        }
    }

    /**
     * A model that an engine has loaded.
     *
     * @param model the name of the model
     * @param weightsVersion the version of its weights
     */
    record ServedModel(
            @Form(TextForm.MODEL_NAME) String model, @Form(TextForm.NAME) String weightsVersion) {}
}
