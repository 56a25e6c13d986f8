package org.parsleyhead.standin.administration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.standin.StandinException;
import org.parsleyhead.standin.proxy.ProxyFault;
import org.parsleyhead.standin.proxy.ProxyFaultReader;

/**
 * A network partition between groups of entry hosts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param groups the groups within which hosts can reach each other
 * @param fault the fault on connections between hosts of different groups
 */
record Partition(List<Set<HostName>> groups, ProxyFault fault) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  Partition {
    groups = List.copyOf(groups);
  }

  /**
   * Decodes a partition from JSON.
   *
   * @throws StandinException if the document is not JSON or the fault is invalid
   */
  static Partition read(byte[] document) {
    try {
      JsonNode node = MAPPER.readTree(document);
      List<Set<HostName>> groups = new ArrayList<>();
      for (JsonNode group : node.path("groups")) {
        Set<HostName> hosts = new HashSet<>();
        group.forEach(host -> hosts.add(new HostName(host.asText())));
        groups.add(Set.copyOf(hosts));
      }
      return new Partition(groups, ProxyFaultReader.read(node.path("fault")));
    } catch (IOException exception) {
      throw new StandinException(StandinException.BAD_REQUEST, "the body is not JSON", exception);
    }
  }
}
