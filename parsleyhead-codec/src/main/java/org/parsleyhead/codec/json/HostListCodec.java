package org.parsleyhead.codec.json;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.RegionName;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.membership.HostEntry;
import org.parsleyhead.core.membership.HostList;

/**
 * Codec for the JSON format of the published host list.
 *
 * <p>Stateless and thread-safe. Unknown fields are rejected.
 */
public final class HostListCodec {

  private static final String LIVE = "live";
  private static final String LEAVING = "leaving";

  private HostListCodec() {}

  /**
   * Decodes a host list.
   *
   * @throws CodecException if the value is malformed
   */
  public static HostList decode(byte[] value) {
    JsonFields fields = JsonFields.parse(value).allowOnly("version", "hosts", "upstreams");
    return JsonFields.translateErrors(
        () ->
            new HostList(
                fields.longValue("version"),
                fields.objects("hosts").stream().map(HostListCodec::readHost).toList(),
                fields.objects("upstreams").stream()
                    .filter(upstream -> readLeaving(upstream.allowOnly("name", "state")))
                    .map(upstream -> new UpstreamName(upstream.text("name")))
                    .collect(Collectors.toUnmodifiableSet())));
  }

  /** Encodes a host list. Upstreams are included only if they are leaving. */
  public static byte[] encode(HostList list) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("version", list.version());
    var hosts = node.putArray("hosts");
    list.hosts().forEach(host -> hosts.add(writeHost(host)));
    var upstreams = node.putArray("upstreams");
    list.leavingUpstreams().stream()
        .sorted()
        .forEach(name -> upstreams.addObject().put("name", name.text()).put("state", LEAVING));
    return node.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static HostEntry readHost(JsonFields fields) {
    fields.allowOnly("name", "peer_endpoint", "region", "failure_domain", "cell", "state");
    return new HostEntry(
        new HostName(fields.text("name")),
        Endpoint.parse(fields.text("peer_endpoint")),
        new RegionName(fields.text("region")),
        new FailureDomainName(fields.text("failure_domain")),
        fields.text("cell"),
        readLeaving(fields));
  }

  private static ObjectNode writeHost(HostEntry host) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("name", host.name().text())
        .put("peer_endpoint", host.peerEndpoint().toString())
        .put("region", host.region().text())
        .put("failure_domain", host.failureDomain().text())
        .put("cell", host.cell())
        .put("state", host.leaving() ? LEAVING : LIVE);
  }

  private static boolean readLeaving(JsonFields fields) {
    String state = fields.text("state");
    if (!state.equals(LIVE) && !state.equals(LEAVING)) {
      throw fields.error("state", "must be live or leaving");
    }
    return state.equals(LEAVING);
  }
}
