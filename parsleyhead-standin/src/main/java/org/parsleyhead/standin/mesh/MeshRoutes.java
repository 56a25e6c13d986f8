package org.parsleyhead.standin.mesh;

import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.membership.HostEntry;
import org.parsleyhead.core.membership.HostList;

/**
 * Which endpoint leads from one host of a mesh to another.
 *
 * <p>Immutable and thread-safe. Each ordered pair of hosts has a port of its own.
 *
 * @param hosts the hosts of the mesh
 * @param address the address of all proxies
 * @param firstPort the port of the first pair
 */
record MeshRoutes(List<HostName> hosts, String address, int firstPort) {

  MeshRoutes {
    hosts = List.copyOf(hosts);
  }

  /** An ordered pair of hosts. */
  record Pair(HostName from, HostName to) {

    String name() {
      return from + "-to-" + to;
    }
  }

  /** Returns all ordered pairs of different hosts. */
  List<Pair> pairs() {
    return hosts.stream()
        .flatMap(
            from -> hosts.stream().filter(to -> !to.equals(from)).map(to -> new Pair(from, to)))
        .toList();
  }

  /** Returns the endpoint that leads from one host of a pair to the other. */
  Endpoint proxyEndpoint(Pair pair) {
    int index = hosts.indexOf(pair.from()) * hosts.size() + hosts.indexOf(pair.to());
    return new Endpoint(address, firstPort + index);
  }

  /** Returns a host list as one host of the mesh reads it. */
  HostList hostListFor(HostName reader, HostList published) {
    return new HostList(
        published.version(),
        published.hosts().stream().map(entry -> entryFor(reader, entry)).toList(),
        published.leavingUpstreams());
  }

  /** Returns the published endpoint of a host. */
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
