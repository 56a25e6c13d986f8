package org.parsleyhead.integration.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The stand-ins of a fleet and where they listen.
 *
 * <p>Immutable and thread-safe.
 *
 * @param administration the administration port
 * @param configuration the configuration service
 * @param hostList the host list
 * @param weights the weight store
 * @param engines the engines by their names, in order
 * @param services the plain services by their names, in order
 * @param proxies the fault proxies by their names, each with its target, in order
 * @param extra further lines of the settings, in TOML, before the first table
 */
public record StandinLayout(
    String administration,
    String configuration,
    String hostList,
    String weights,
    Map<String, String> engines,
    Map<String, String> services,
    Map<String, ProxyLayout> proxies,
    String extra) {

  /** Copies the maps. */
  public StandinLayout {
    engines = new LinkedHashMap<>(engines);
    services = new LinkedHashMap<>(services);
    proxies = new LinkedHashMap<>(proxies);
  }

  /** Returns a layout on free ports. */
  public static StandinLayout onFreePorts(int engines, List<String> services) {
    List<String> ports = Ports.free(4 + engines + services.size());
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

  /** Returns this layout with fault proxies. */
  public StandinLayout withProxies(Map<String, ProxyLayout> added) {
    return new StandinLayout(
        administration, configuration, hostList, weights, engines, services, added, extra);
  }

  /** Returns this layout with a fault proxy on a free port before each engine and service. */
  public StandinLayout withProxiesBeforeUpstreams() {
    Map<String, String> upstreams = new LinkedHashMap<>(engines);
    upstreams.putAll(services);
    List<String> ports = Ports.free(upstreams.size());
    Map<String, ProxyLayout> added = new LinkedHashMap<>();
    upstreams.forEach(
        (name, target) -> added.put(name, new ProxyLayout(ports.get(added.size()), target)));
    return withProxies(added);
  }

  /** Returns this layout with further lines of settings. */
  public StandinLayout withExtra(String lines) {
    return new StandinLayout(
        administration, configuration, hostList, weights, engines, services, proxies, lines);
  }

  /** Returns the name of the proxy between an entry host and the configuration service. */
  public static String configurationProxy(String hostName) {
    return "configuration-" + hostName;
  }

  /** Returns where an entry host reaches the configuration service: its own proxy, if any. */
  String configurationFor(EntryHost host) {
    return reachedAt(configurationProxy(host.name()), configuration);
  }

  /** Returns where entry hosts reach a stand-in: its proxy, if one has its name. */
  String reachedAt(String name, String endpoint) {
    return proxies.containsKey(name) ? proxies.get(name).endpoint() : endpoint;
  }

  /** Returns the settings of the stand-ins in TOML. */
  String settings() {
    StringBuilder text = new StringBuilder(extra).append('\n');
    endpoint(text, "administration", administration);
    endpoint(text, "configuration", configuration);
    endpoint(text, "hosts", hostList);
    endpoint(text, "weights", weights);
    engines.forEach((name, endpoint) -> endpoint(text, "engine." + name, endpoint));
    services.forEach((name, endpoint) -> endpoint(text, "service." + name, endpoint));
    proxies.forEach(
        (name, proxy) -> {
          endpoint(text, "proxy." + name, proxy.endpoint());
          text.append("proxy.").append(name).append(".target = \"").append(proxy.target());
          text.append("\"\n");
        });
    return text.toString();
  }

  private static void endpoint(StringBuilder text, String table, String endpoint) {
    text.append(table).append(".endpoint = \"").append(endpoint).append("\"\n");
  }

  /**
   * A fault proxy.
   *
   * @param endpoint where it listens
   * @param target where it connects to
   */
  public record ProxyLayout(String endpoint, String target) {}
}
