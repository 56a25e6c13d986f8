package org.parsleyhead.entry.callers;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.request.Refusal;

/**
 * Encodes the JSON bodies of responses that the entry host generates itself.
 *
 * <p>Stateless and thread-safe.
 */
final class ResponseBodyEncoder {

  private ResponseBodyEncoder() {}

  /** Returns the body of a refusal in the format of the OpenAI API. */
  static byte[] encodeRefusal(Refusal refusal) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    ObjectNode error = root.putObject("error");
    error.put("message", refusal.message());
    error.put("type", "parsleyhead_error");
    error.put("code", refusal.code().text());
    error.put("outcome", refusal.outcome().text());
    refusal
        .retryAfter()
        .ifPresent(after -> error.put("retry_after_milliseconds", after.toMillis()));
    return bytes(root);
  }

  /** Returns the list of models in the format of the OpenAI API. */
  static byte[] encodeModels(List<AdapterReference> models) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("object", "list");
    var data = root.putArray("data");
    models.forEach(
        model ->
            data.addObject()
                .put("id", model.text())
                .put("object", "model")
                .put("created", 0)
                .put("owned_by", "parsleyhead"));
    return bytes(root);
  }

  private static byte[] bytes(ObjectNode node) {
    return node.toString().getBytes(StandardCharsets.UTF_8);
  }
}
