package org.parsleyhead.core.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * One version of the published list of entry hosts. It may be stale.
 *
 * <p>Immutable and thread-safe. The hosts are sorted by name.
 *
 * @param version the version, which increases with each change
 * @param hosts the listed hosts, including those that are leaving
 * @param leavingUpstreams the upstreams that receive no new requests
 */
public record HostList(long version, List<HostEntry> hosts, Set<UpstreamName> leavingUpstreams) {

  /** The empty list that is used until the first one is read. */
  public static final HostList EMPTY = new HostList(0, List.of(), Set.of());

  /** Validates the version and sorts the hosts. */
  public HostList {
    Preconditions.requireNonNegative(version, "version");
    hosts = hosts.stream().sorted(Comparator.comparing(HostEntry::name)).toList();
    leavingUpstreams = Set.copyOf(leavingUpstreams);
  }

  /** Returns a host by its name, if it is listed. */
  public Optional<HostEntry> find(HostName name) {
    return hosts.stream().filter(host -> host.name().equals(name)).findFirst();
  }

  /** Returns the names of all listed hosts of a cell. */
  public SortedSet<HostName> membersOf(String cell) {
    SortedSet<HostName> names = new TreeSet<>();
    hosts.stream().filter(host -> host.cell().equals(cell)).forEach(host -> names.add(host.name()));
    return names;
  }
}
