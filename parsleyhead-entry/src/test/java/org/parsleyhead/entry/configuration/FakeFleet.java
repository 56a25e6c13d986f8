package org.parsleyhead.entry.configuration;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.parsleyhead.codec.peer.MembershipMessageTypes;
import org.parsleyhead.codec.peer.MessageType;
import org.parsleyhead.codec.peer.PeerMessageCodec;
import org.parsleyhead.codec.peer.TicketMessageTypes;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.RegionName;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.membership.HostEntry;
import org.parsleyhead.core.membership.HostList;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.parsleyhead.runtime.duty.MonotonicClock;

/** Control planes of several hosts in one process, connected by sockets on loopback. */
final class FakeFleet implements AutoCloseable {

  private static final String LOOPBACK = "127.0.0.1";
  private static final int FAILURE_DOMAINS = 3;
  private static final int CELL_SIZE = 6;
  private static final SecureRandom RANDOM = new SecureRandom();

  private final List<Host> hosts = new ArrayList<>();
  private final List<HostEntry> entries = new ArrayList<>();
  private final Duration attestationDuration;

  /** Creates hosts that are not yet started. */
  FakeFleet(int size, Duration attestationDuration) throws IOException {
    this.attestationDuration = attestationDuration;
    for (int index = 0; index < size; index++) {
      entries.add(
          new HostEntry(
              new HostName("host-" + index),
              freeEndpoint(),
              new RegionName("region"),
              new FailureDomainName("domain-" + index % FAILURE_DOMAINS),
              "cell-" + index / CELL_SIZE,
              false));
    }
  }

  HostList hostList() {
    return new HostList(1, entries, Set.of());
  }

  Host start(int index, URI service) {
    Host host = new Host(entries.get(index), service, attestationDuration);
    hosts.add(host);
    return host;
  }

  List<Host> hosts() {
    return hosts;
  }

  @Override
  public void close() {
    hosts.forEach(host -> host.plane.close());
  }

  private static Endpoint freeEndpoint() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
      return new Endpoint(LOOPBACK, socket.getLocalPort());
    }
  }

  /** A host whose control plane is running; records what its listener receives. */
  static final class Host {
    private final CountDownLatch ready = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final Set<String> revoked = ConcurrentHashMap.newKeySet();
    private final AtomicReference<RightsSnapshot> rightsSnapshot = new AtomicReference<>();
    private final ControlPlane plane;

    private Host(HostEntry entry, URI service, Duration attestationDuration) {
      Sender self = new Sender(entry.name(), new Incarnation(RANDOM.nextLong() >>> 1));
      List<MessageType<?>> types =
          Stream.of(MembershipMessageTypes.TYPES, TicketMessageTypes.TYPES)
              .flatMap(List::stream)
              .toList();
      plane =
          ControlPlane.start(
              ControlPlaneSettings.of(
                  self,
                  entry.peerEndpoint(),
                  entry.failureDomain(),
                  service,
                  service,
                  attestationDuration),
              new PeerMessageCodec(types),
              new ControlPlaneListener(
                  (changed, applied) -> {
                    rightsSnapshot.set(changed);
                    applied.run();
                  },
                  list -> {},
                  changed -> revoked.addAll(changed.revokedKeyDigests()),
                  ready::countDown,
                  released::countDown,
                  envelope -> {}),
              MonotonicClock.SYSTEM,
              RANDOM::nextLong);
    }

    ControlPlane plane() {
      return plane;
    }

    CountDownLatch ready() {
      return ready;
    }

    CountDownLatch released() {
      return released;
    }

    Set<String> revoked() {
      return revoked;
    }

    RightsSnapshot rightsSnapshot() {
      return rightsSnapshot.get();
    }
  }
}
