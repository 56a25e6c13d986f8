package org.parsleyhead.runtime.administration;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.parsleyhead.runtime.audit.AuditEntry;
import org.parsleyhead.runtime.audit.AuditTrail;

/** The JSON form of the audit trail. Stateless and thread-safe. */
public final class AuditJson {

  private AuditJson() {}

  /** Writes the kept entries behind a sequence number. */
  public static String encode(AuditTrail trail, long since) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("first_sequence", trail.firstSequence());
    node.put("last_sequence", trail.lastSequence());
    ArrayNode entries = node.putArray("entries");
    trail.since(since).forEach(entry -> entries.add(encode(entry)));
    return node.toString();
  }

  private static ObjectNode encode(AuditEntry entry) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("sequence", entry.sequence())
        .put("ticket", entry.ticket().value())
        .put("kind", entry.change().item().kind().text())
        .put("name", entry.change().item().name())
        .put("action", entry.change().action().text())
        .put("heard_from", entry.heardFrom())
        .put("in_force_since", entry.inForceSince().toString());
  }
}
