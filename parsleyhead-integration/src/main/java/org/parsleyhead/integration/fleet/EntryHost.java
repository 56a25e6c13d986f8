package org.parsleyhead.integration.fleet;

import java.util.Map;

/**
 * The addresses of one entry host of a fleet.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name
 * @param failureDomain the failure domain
 * @param callers where callers connect
 * @param peers where it listens for other entry hosts
 * @param publishedPeers where other entry hosts are told to connect
 * @param administration where operators connect
 */
public record EntryHost(
    String name,
    String failureDomain,
    String callers,
    String peers,
    String publishedPeers,
    String administration) {

  /** Returns the settings of the host in TOML. */
  String settings(String configuration, String hostList, Map<String, String> extra) {
    StringBuilder text = new StringBuilder();
    text.append("host.name = \"").append(name).append("\"\n");
    text.append("host.failure_domain = \"").append(failureDomain).append("\"\n");
    text.append("callers.endpoint = \"").append(callers).append("\"\n");
    text.append("peers.endpoint = \"").append(peers).append("\"\n");
    text.append("administration.endpoint = \"").append(administration).append("\"\n");
    text.append("platform.configuration_endpoint = \"").append(configuration).append("\"\n");
    text.append("platform.host_list_endpoint = \"").append(hostList).append("\"\n");
    extra.forEach((key, value) -> text.append(key).append(" = ").append(value).append('\n'));
    return text.toString();
  }

  /** Returns the entry of the host on the host list in JSON. */
  String listed(boolean leaving) {
    return "{\"name\":\""
        + name
        + "\",\"peer_endpoint\":\""
        + publishedPeers
        + "\",\"region\":\"region-1\",\"failure_domain\":\""
        + failureDomain
        + "\",\"cell\":\"cell-1\",\"state\":\""
        + (leaving ? "leaving" : "live")
        + "\"}";
  }
}
