package org.parsleyhead.standin.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.parsleyhead.codec.json.HostListCodec;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.membership.HostList;
import org.parsleyhead.standin.Standin;
import org.parsleyhead.standin.StandinEnvironment;
import org.parsleyhead.standin.platform.PublicationService;
import org.parsleyhead.standin.proxy.DirectionFault;
import org.parsleyhead.standin.proxy.FaultProxy;
import org.parsleyhead.standin.proxy.ProxyFault;

/**
 * A fault proxy for each ordered pair of entry hosts, and a host list for each entry host that
 * contains the endpoints of these proxies instead of those of the other entry hosts.
 *
 * <p>Thread-safe. A proxy closes its connections until the endpoint of its target has been
 * published.
 */
public final class HostMesh {

  private static final Endpoint UNRESOLVED_TARGET = new Endpoint("127.0.0.1", 1);

  private final MeshRoutes routes;
  private final Map<HostName, PublicationService> hostLists;
  private final Map<MeshRoutes.Pair, FaultProxy> proxies;
  private final ProxyFault healthy;

  /**
   * Creates a mesh whose listeners are not yet open.
   *
   * @param hosts the entry hosts
   * @param address the listening address of all proxies
   * @param firstPort the port from which the ports of the proxies are counted
   * @param delay the one-way delay of all proxies
   * @param lag the time until a new host list becomes visible
   * @param environment the environment of the process
   */
  public HostMesh(
      List<MeshHost> hosts,
      String address,
      int firstPort,
      Duration delay,
      Duration lag,
      StandinEnvironment environment) {
    this.routes = new MeshRoutes(hosts.stream().map(MeshHost::name).toList(), address, firstPort);
    DirectionFault delayed = DirectionFault.delayed(delay);
    this.healthy = ProxyFault.forDirections(ProxyFault.Scope.ALL, delayed, delayed);
    Map<HostName, PublicationService> createdLists = new HashMap<>();
    for (MeshHost host : hosts) {
      createdLists.put(
          host.name(),
          PublicationService.hosts("hosts-" + host.name(), host.endpoint(), lag, environment));
    }
    this.hostLists = Map.copyOf(createdLists);
    Map<MeshRoutes.Pair, FaultProxy> createdProxies = new HashMap<>();
    for (MeshRoutes.Pair pair : routes.pairs()) {
      createdProxies.put(pair, createProxy(pair, environment));
    }
    this.proxies = Map.copyOf(createdProxies);
  }

  private FaultProxy createProxy(MeshRoutes.Pair pair, StandinEnvironment environment) {
    return new FaultProxy(
        pair.name(),
        routes.proxyEndpoint(pair),
        UNRESOLVED_TARGET,
        healthy,
        environment.eventLoops(),
        environment.clock());
  }

  /** Returns the host lists of all entry hosts. */
  public List<Standin> hostLists() {
    return List.copyOf(hostLists.values());
  }

  /** Returns the proxies of all ordered pairs. */
  public List<FaultProxy> proxies() {
    return List.copyOf(proxies.values());
  }

  /**
   * Publishes a host list to all entry hosts, with the proxy endpoints for each of them.
   *
   * @throws org.parsleyhead.codec.CodecException if the document is not a host list
   */
  public void publish(byte[] document) {
    HostList published = HostListCodec.decode(document);
    proxies.forEach(
        (pair, proxy) ->
            MeshRoutes.publishedEndpoint(pair.to(), published).ifPresent(proxy::setTarget));
    hostLists.forEach(
        (host, list) ->
            list.putHostList(HostListCodec.encode(routes.hostListFor(host, published))));
  }

  /**
   * Applies a fault between hosts of different groups and removes all other faults. A host that is
   * in no group is separated from all others.
   */
  public void partition(List<Set<HostName>> groups, ProxyFault fault) {
    proxies.forEach((pair, proxy) -> proxy.applyFault(isSameGroup(groups, pair) ? healthy : fault));
  }

  /** Removes all faults. */
  public void heal() {
    proxies.values().forEach(proxy -> proxy.applyFault(healthy));
  }

  private static boolean isSameGroup(List<Set<HostName>> groups, MeshRoutes.Pair pair) {
    return groups.stream()
        .anyMatch(group -> group.contains(pair.from()) && group.contains(pair.to()));
  }
}
