package org.parsleyhead.standin.mesh;

import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.membership.HostEntry;
import org.parsleyhead.core.membership.HostList;

/**
 * Assigns proxy endpoints to the ordered pairs of entry hosts in a mesh.
 *
 * <p>Immutable and thread-safe. Each ordered pair has its own port.
 *
 * @param hosts the entry hosts
 * @param address the listening address of all proxies
 * @param firstPort the port from which the ports of the proxies are counted
 */
record MeshRoutes(List<HostName> hosts, String address, int firstPort) {

  MeshRoutes {
    hosts = List.copyOf(hosts);
  }

  /** An ordered pair of entry hosts. */
  record Pair(HostName from, HostName to) {

    String name() {
      return from + "-to-" + to;
    }
  }

  /** Returns all ordered pairs of distinct hosts. */
  List<Pair> pairs() {
    return hosts.stream()
        .flatMap(
            from -> hosts.stream().filter(to -> !to.equals(from)).map(to -> new Pair(from, to)))
        .toList();
  }

  /** Returns the endpoint of the proxy between the hosts of a pair. */
  Endpoint proxyEndpoint(Pair pair) {
    int index = hosts.indexOf(pair.from()) * hosts.size() + hosts.indexOf(pair.to());
    return new Endpoint(address, firstPort + index);
  }

  /** Returns a published host list with the proxy endpoints for one host of the mesh. */
  HostList hostListFor(HostName reader, HostList published) {
    return new HostList(
        published.version(),
        published.hosts().stream().map(entry -> entryFor(reader, entry)).toList(),
        published.leavingUpstreams());
  }

  /** Returns the published peer endpoint of a host. */
  static Optional<Endpoint> publishedEndpoint(HostName host, HostList published) {
    return published.hosts().stream()
        .filter(entry -> entry.name().equals(host))
        .map(HostEntry::peerEndpoint)
        .findFirst();
  }

  private HostEntry entryFor(HostName reader, HostEntry entry) {
    if (entry.name().equals(reader) || !hosts.contains(entry.name())) {
      return entry;
    }
    return new HostEntry(
        entry.name(),
        proxyEndpoint(new Pair(reader, entry.name())),
        entry.region(),
        entry.failureDomain(),
        entry.cell(),
        entry.leaving());
  }
}
