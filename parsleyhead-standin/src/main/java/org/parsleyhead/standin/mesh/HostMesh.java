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
 * A fault proxy for each ordered pair of entry hosts, and a host list for each entry host in which
 * the others stand with the endpoints of the proxies that lead to them.
 *
 * <p>Thread-safe. A proxy whose target was not yet published closes its connections.
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
   * @param readers the entry hosts
   * @param address the address of all proxies
   * @param firstPort the first of the ports of the proxies, one for each ordered pair
   * @param delay how long bytes take one way
   * @param lag how long a new host list is not yet seen
   * @param environment what all stand-ins share
   */
  public HostMesh(
      List<MeshHost> readers,
      String address,
      int firstPort,
      Duration delay,
      Duration lag,
      StandinEnvironment environment) {
    this.routes = new MeshRoutes(readers.stream().map(MeshHost::host).toList(), address, firstPort);
    DirectionFault delayed = DirectionFault.delayed(delay);
    this.healthy = ProxyFault.forDirections(ProxyFault.Scope.ALL, delayed, delayed);
    Map<HostName, PublicationService> createdLists = new HashMap<>();
    for (MeshHost reader : readers) {
      createdLists.put(
          reader.host(),
          PublicationService.hosts("hosts-" + reader.host(), reader.endpoint(), lag, environment));
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

  /** Returns the host lists. */
  public List<Standin> hostLists() {
    return List.copyOf(hostLists.values());
  }

  /** Returns the proxies. */
  public List<FaultProxy> proxies() {
    return List.copyOf(proxies.values());
  }

  /**
   * Publishes a host list to all entry hosts, each with its own endpoints.
   *
   * @throws org.parsleyhead.codec.CodecException if the document is no host list
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
   * Puts a fault in force between hosts of different groups and ends all other faults. A host that
   * stands in no group is in one of its own.
   */
  public void partition(List<Set<HostName>> groups, ProxyFault fault) {
    proxies.forEach((pair, proxy) -> proxy.applyFault(isSameGroup(groups, pair) ? healthy : fault));
  }

  /** Ends all faults. */
  public void heal() {
    proxies.values().forEach(proxy -> proxy.applyFault(healthy));
  }

  private static boolean isSameGroup(List<Set<HostName>> groups, MeshRoutes.Pair pair) {
    return groups.stream()
        .anyMatch(group -> group.contains(pair.from()) && group.contains(pair.to()));
  }
}
