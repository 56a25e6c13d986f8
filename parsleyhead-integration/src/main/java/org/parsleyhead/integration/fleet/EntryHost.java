package org.parsleyhead.integration.fleet;

import java.util.Map;

/**
 * The name, failure domain and endpoints of an entry host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name
 * @param failureDomain the failure domain
 * @param callerEndpoint the endpoint for callers
 * @param peerEndpoint the endpoint on which the host listens for other entry hosts
 * @param advertisedPeerEndpoint the endpoint that the host list gives to other entry hosts
 * @param administrationEndpoint the endpoint for operators
 */
public record EntryHost(
    String name,
    String failureDomain,
    String callerEndpoint,
    String peerEndpoint,
    String advertisedPeerEndpoint,
    String administrationEndpoint) {

  /**
   * Returns the settings of the host in TOML.
   *
   * @param configuration the endpoint of the configuration service
   * @param hostList the endpoint of the host list
   * @param extra further settings by their paths, with values in TOML
   */
  String settings(String configuration, String hostList, Map<String, String> extra) {
    StringBuilder text = new StringBuilder();
    text.append("host.name = \"").append(name).append("\"\n");
    text.append("host.failure_domain = \"").append(failureDomain).append("\"\n");
    text.append("callers.endpoint = \"").append(callerEndpoint).append("\"\n");
    text.append("peers.endpoint = \"").append(peerEndpoint).append("\"\n");
    text.append("administration.endpoint = \"").append(administrationEndpoint).append("\"\n");
    text.append("platform.configuration_endpoint = \"").append(configuration).append("\"\n");
    text.append("platform.host_list_endpoint = \"").append(hostList).append("\"\n");
    extra.forEach((key, value) -> text.append(key).append(" = ").append(value).append('\n'));
    return text.toString();
  }

  /** Returns the entry of this host in the host list, in JSON. */
  String hostListEntry(boolean leaving) {
    return "{\"name\":\""
        + name
        + "\",\"peer_endpoint\":\""
        + advertisedPeerEndpoint
        + "\",\"region\":\"region-1\",\"failure_domain\":\""
        + failureDomain
        + "\",\"cell\":\"cell-1\",\"state\":\""
        + (leaving ? "leaving" : "live")
        + "\"}";
  }
}
