package org.parsleyhead.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.TreeSet;

/**
 * Encodes the metrics and the model list of an engine.
 *
 * <p>Immutable and thread-safe.
 */
final class EngineReportWriter {

  private final EngineSettings settings;

  EngineReportWriter(EngineSettings settings) {
    this.settings = settings;
  }

  /** Returns the metrics in the Prometheus text format; the load is that of the reported sample. */
  String metrics(EngineState state) {
    LoadReport report = LoadReports.reported(state);
    StringBuilder output = new StringBuilder();
    gauge(output, "vllm:num_requests_running", report.running());
    gauge(output, "vllm:num_requests_waiting", report.waiting());
    gauge(output, "vllm:kv_cache_usage_perc", report.cacheUsage());
    output
        .append("# TYPE vllm:lora_requests_info gauge\n")
        .append("vllm:lora_requests_info{max_lora=\"")
        .append(settings.limits().adapterSlots())
        .append("\",running_lora_adapters=\"")
        .append(String.join(",", report.runningAdapters()))
        .append("\",waiting_lora_adapters=\"")
        .append(String.join(",", report.waitingAdapters()))
        .append("\"} 1.0\n");
    output
        .append("# TYPE standin:steps_total counter\nstandin:steps_total ")
        .append(state.totals().steps())
        .append("\n# TYPE standin:tokens_total counter\nstandin:tokens_total ")
        .append(state.totals().tokens())
        .append("\n# TYPE standin:loads_total counter\nstandin:loads_total ")
        .append(state.totals().loads())
        .append('\n');
    return output.toString();
  }

  /** Returns the model list: the base model and the resident adapters. */
  ObjectNode models(EngineState state) {
    ObjectNode document = JsonNodeFactory.instance.objectNode().put("object", "list");
    ArrayNode models = document.putArray("data");
    models
        .addObject()
        .put("id", settings.baseModel())
        .put("object", "model")
        .put("owned_by", "standin");
    for (String adapter : new TreeSet<>(state.adapters().keySet())) {
      if (state.isResident(adapter)) {
        models
            .addObject()
            .put("id", adapter)
            .put("object", "model")
            .put("owned_by", "standin")
            .put("parent", settings.baseModel());
      }
    }
    return document;
  }

  private void gauge(StringBuilder output, String name, double value) {
    output.append("# TYPE ").append(name).append(" gauge\n").append(name);
    output.append("{model_name=\"").append(settings.baseModel()).append("\"} ");
    output.append(value).append('\n');
  }
}
