package org.ibisstand.fakes;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The pages that a fake engine shows about itself. */
final class EnginePages {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String SEQUENCE = "sequence";

    private EnginePages() {}

    static ObjectNode models(EngineBoot boot) {
        ObjectNode page = MAPPER.createObjectNode().put("object", "list");
        ArrayNode models = page.putArray("data");
        boot.loader()
                .versions()
                .forEach(
                        (model, version) ->
                                models.addObject()
                                        .put("id", model)
                                        .put("object", "model")
                                        .put("weights_version", version));
        return page;
    }

    static ObjectNode health(EngineBoot boot) {
        ObjectNode page = MAPPER.createObjectNode();
        page.put("boot", boot.identifier().toString());
        ObjectNode models = page.putObject("models");
        boot.loader().versions().forEach(models::put);
        return page;
    }

    static String load(EngineBoot boot) {
        EngineScheduler.Counts counts = boot.scheduler().counts();
        return "# TYPE vllm:num_requests_running gauge\n"
                + "vllm:num_requests_running "
                + counts.running()
                + "\n# TYPE vllm:num_requests_waiting gauge\n"
                + "vllm:num_requests_waiting "
                + counts.waiting()
                + "\n";
    }

    static ObjectNode snapshot(EngineBoot boot) {
        ObjectNode page = eventsHead(boot);
        ArrayNode hashes = page.putArray("hashes");
        boot.cache().pieces().forEach(hashes::add);
        return page;
    }

    static ObjectNode eventsHead(EngineBoot boot) {
        return MAPPER.createObjectNode()
                .put("boot", boot.identifier().toString())
                .put("next_sequence", boot.journal().nextSequence());
    }

    static ObjectNode event(EventJournal.Event event) {
        ObjectNode line = MAPPER.createObjectNode();
        line.put(SEQUENCE, event.sequence()).put("type", event.type());
        ArrayNode hashes = line.putArray("hashes");
        event.hashes().forEach(hashes::add);
        return line;
    }

    /** The line that tells a reader what it should have by now, so that a lost end is noticed. */
    static ObjectNode alive(EventJournal journal) {
        return MAPPER.createObjectNode()
                .put("type", "alive")
                .put("next_sequence", journal.nextSequence());
    }

    static ObjectNode state(EngineBoot boot) {
        EngineScheduler.Counts counts = boot.scheduler().counts();
        return health(boot)
                .put("running", counts.running())
                .put("waiting", counts.waiting())
                .put("completed", counts.completed())
                .put("cancelled", counts.cancelled())
                .put("prefilled_bytes", counts.prefilledBytes())
                .put("held_bytes", counts.heldBytes())
                .put("cached_pieces", boot.cache().pieces().size());
    }
}
