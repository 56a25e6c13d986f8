package org.parsleyhead.integration.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The stand-ins of a fleet and their endpoints.
 *
 * <p>Immutable and thread-safe.
 *
 * @param administrationEndpoint the endpoint for administration
 * @param configurationEndpoint the configuration service
 * @param hostListEndpoint the host list
 * @param weightStoreEndpoint the weight store
 * @param engines the endpoints of the engines by their names, in order
 * @param services the endpoints of the plain services by their names, in order
 * @param proxies the fault proxies by their names, in order
 * @param extraSettings further lines of the settings in TOML, written before the others
 */
public record StandinLayout(
    String administrationEndpoint,
    String configurationEndpoint,
    String hostListEndpoint,
    String weightStoreEndpoint,
    Map<String, String> engines,
    Map<String, String> services,
    Map<String, ProxyLayout> proxies,
    String extraSettings) {

  /** Copies the maps. */
  public StandinLayout {
    engines = new LinkedHashMap<>(engines);
    services = new LinkedHashMap<>(services);
    proxies = new LinkedHashMap<>(proxies);
  }

  /** Returns a layout on free ports, with engines named {@code engine-1} and so on. */
  public static StandinLayout onFreePorts(int engines, List<String> services) {
    List<String> ports = Ports.allocate(4 + engines + services.size());
    Map<String, String> engineEndpoints = new LinkedHashMap<>();
    for (int index = 0; index < engines; index++) {
      engineEndpoints.put("engine-" + (index + 1), ports.get(4 + index));
    }
    Map<String, String> serviceEndpoints = new LinkedHashMap<>();
    for (int index = 0; index < services.size(); index++) {
      serviceEndpoints.put(services.get(index), ports.get(4 + engines + index));
    }
    return new StandinLayout(
        ports.get(0),
        ports.get(1),
        ports.get(2),
        ports.get(3),
        engineEndpoints,
        serviceEndpoints,
        Map.of(),
        "");
  }

  /** Returns this layout with its fault proxies replaced. */
  public StandinLayout withProxies(Map<String, ProxyLayout> added) {
    return new StandinLayout(
        administrationEndpoint,
        configurationEndpoint,
        hostListEndpoint,
        weightStoreEndpoint,
        engines,
        services,
        added,
        extraSettings);
  }

  /** Returns this layout with a fault proxy on a free port before each engine and service. */
  public StandinLayout withProxiesBeforeUpstreams() {
    Map<String, String> upstreams = new LinkedHashMap<>(engines);
    upstreams.putAll(services);
    List<String> ports = Ports.allocate(upstreams.size());
    Map<String, ProxyLayout> added = new LinkedHashMap<>();
    upstreams.forEach(
        (name, target) -> added.put(name, new ProxyLayout(ports.get(added.size()), target)));
    return withProxies(added);
  }

  /** Returns this layout with its further lines of settings replaced. */
  public StandinLayout withExtraSettings(String lines) {
    return new StandinLayout(
        administrationEndpoint,
        configurationEndpoint,
        hostListEndpoint,
        weightStoreEndpoint,
        engines,
        services,
        proxies,
        lines);
  }

  /** Returns the name of the proxy between an entry host and the configuration service. */
  public static String configurationProxyName(String hostName) {
    return "configuration-" + hostName;
  }

  /** Returns the endpoint of the configuration service for an entry host: its own proxy, if any. */
  String configurationEndpointFor(EntryHost host) {
    return reachableEndpoint(configurationProxyName(host.name()), configurationEndpoint);
  }

  /** Returns the endpoint at which entry hosts reach a stand-in: the proxy of its name, if any. */
  String reachableEndpoint(String name, String endpoint) {
    return proxies.containsKey(name) ? proxies.get(name).endpoint() : endpoint;
  }

  /** Returns the settings of the stand-ins in TOML. */
  String settings() {
    StringBuilder text = new StringBuilder(extraSettings).append('\n');
    appendEndpoint(text, "administration", administrationEndpoint);
    appendEndpoint(text, "configuration", configurationEndpoint);
    appendEndpoint(text, "hosts", hostListEndpoint);
    appendEndpoint(text, "weights", weightStoreEndpoint);
    engines.forEach((name, endpoint) -> appendEndpoint(text, "engine." + name, endpoint));
    services.forEach((name, endpoint) -> appendEndpoint(text, "service." + name, endpoint));
    proxies.forEach(
        (name, proxy) -> {
          appendEndpoint(text, "proxy." + name, proxy.endpoint());
          text.append("proxy.").append(name).append(".target = \"").append(proxy.target());
          text.append("\"\n");
        });
    return text.toString();
  }

  private static void appendEndpoint(StringBuilder text, String table, String endpoint) {
    text.append(table).append(".endpoint = \"").append(endpoint).append("\"\n");
  }

  /**
   * A fault proxy.
   *
   * @param endpoint the endpoint on which the proxy listens
   * @param target the endpoint to which the proxy connects
   */
  public record ProxyLayout(String endpoint, String target) {}
}
