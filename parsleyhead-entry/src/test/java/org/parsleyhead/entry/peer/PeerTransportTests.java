package org.parsleyhead.entry.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.codec.peer.Envelope;
import org.parsleyhead.codec.peer.MembershipMessageTypes;
import org.parsleyhead.codec.peer.PeerMessageCodec;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.RegionName;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.membership.AttestationRequest;
import org.parsleyhead.core.membership.HostEntry;
import org.parsleyhead.core.membership.HostList;
import org.parsleyhead.runtime.duty.MonotonicClock;

@DisplayName("The transport between hosts")
class PeerTransportTests {

  private static final String LOOPBACK = "127.0.0.1";
  private static final HostName FIRST = new HostName("first");
  private static final HostName SECOND = new HostName("second");
  private static final PeerMessageCodec CODEC = new PeerMessageCodec(MembershipMessageTypes.TYPES);

  private final List<AutoCloseable> opened = new ArrayList<>();
  private final Endpoint firstEndpoint = freeEndpoint();
  private final Endpoint secondEndpoint = freeEndpoint();
  private volatile HostList hosts =
      new HostList(
          1, List.of(entry(FIRST, firstEndpoint), entry(SECOND, secondEndpoint)), Set.of());

  @AfterEach
  void closeAll() throws Exception {
    for (AutoCloseable closeable : opened) {
      closeable.close();
    }
  }

  private static Endpoint freeEndpoint() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
      return new Endpoint(LOOPBACK, socket.getLocalPort());
    } catch (IOException exception) {
      throw new AssertionError(exception);
    }
  }

  private static HostEntry entry(HostName host, Endpoint endpoint) {
    return new HostEntry(
        host, endpoint, new RegionName("region"), new FailureDomainName("domain"), "cell", false);
  }

  private PeerTransport start(HostName host, Endpoint endpoint, BlockingQueue<Envelope> received) {
    PeerTransportSettings settings =
        new PeerTransportSettings(
            new Sender(host, new Incarnation(1)),
            endpoint,
            Duration.ofSeconds(2),
            Duration.ofMillis(50),
            Duration.ofMillis(200),
            Duration.ofMinutes(1),
            Duration.ofMillis(20),
            Duration.ofMillis(10),
            Duration.ofMillis(50),
            true);
    PeerTransport transport =
        PeerTransport.start(
            settings, CODEC, () -> hosts, received::add, MonotonicClock.SYSTEM, () -> 7);
    opened.add(transport);
    return transport;
  }

  private static void sendUntil(PeerTransport from, HostName to, BlockingQueue<Envelope> received)
      throws InterruptedException {
    Envelope envelope = null;
    for (int attempt = 0; attempt < 500 && envelope == null; attempt++) {
      from.send(to, new AttestationRequest(attempt, 1));
      envelope = received.poll(20, TimeUnit.MILLISECONDS);
    }
    assertNotNull(envelope);
  }

  private Socket connectToFirst() throws IOException {
    Socket socket = new Socket(LOOPBACK, firstEndpoint.port());
    socket.setSoTimeout(10_000);
    opened.add(socket);
    return socket;
  }

  private static void writeFrame(Socket socket, byte[] bytes) throws IOException {
    DataOutputStream output = new DataOutputStream(socket.getOutputStream());
    output.writeInt(bytes.length);
    output.write(bytes);
    output.flush();
  }

  @Test
  @DisplayName("delivers messages in both directions with their sender")
  void deliversInBothDirections() throws Exception {
    BlockingQueue<Envelope> atFirst = new LinkedBlockingQueue<>();
    BlockingQueue<Envelope> atSecond = new LinkedBlockingQueue<>();
    PeerTransport first = start(FIRST, firstEndpoint, atFirst);
    PeerTransport second = start(SECOND, secondEndpoint, atSecond);
    AttestationRequest message = new AttestationRequest(5, 1);
    assertTrue(first.send(SECOND, message));
    Sender sender = new Sender(FIRST, new Incarnation(1));
    assertEquals(new Envelope(sender, message), atSecond.poll(10, TimeUnit.SECONDS));
    assertTrue(second.send(FIRST, message));
    assertNotNull(atFirst.poll(10, TimeUnit.SECONDS));
    assertEquals(1, first.statistics().messagesOut());
  }

  @Test
  @DisplayName("reconnects to a host after its restart")
  void reconnects() throws Exception {
    BlockingQueue<Envelope> received = new LinkedBlockingQueue<>();
    PeerTransport first = start(FIRST, firstEndpoint, new LinkedBlockingQueue<>());
    PeerTransport second = start(SECOND, secondEndpoint, received);
    sendUntil(first, SECOND, received);
    second.close();
    received.clear();
    start(SECOND, secondEndpoint, received);
    sendUntil(first, SECOND, received);
  }

  @Test
  @DisplayName("replaces a connection whose pings are not answered")
  void replacesUnresponsiveConnection() throws Exception {
    PeerTransport first = start(FIRST, firstEndpoint, new LinkedBlockingQueue<>());
    try (ServerSocket unresponsive =
        new ServerSocket(secondEndpoint.port(), 10, InetAddress.getByName(LOOPBACK))) {
      unresponsive.setSoTimeout(10_000);
      first.send(SECOND, new AttestationRequest(1, 1));
      opened.add(unresponsive.accept());
      while (first.statistics().replaced() == 0) {
        Thread.sleep(10);
      }
      first.send(SECOND, new AttestationRequest(2, 1));
      Socket replacement = unresponsive.accept();
      opened.add(replacement);
      DataInputStream input = new DataInputStream(replacement.getInputStream());
      byte[] frame = new byte[input.readInt()];
      input.readFully(frame);
      assertEquals(new AttestationRequest(2, 1), CODEC.decode(frame).message());
    }
  }

  @Test
  @DisplayName("closes the connection of a host that is not listed")
  void refusesUnlisted() throws Exception {
    BlockingQueue<Envelope> received = new LinkedBlockingQueue<>();
    PeerTransport first = start(FIRST, firstEndpoint, received);
    Sender unlisted = new Sender(new HostName("stranger"), new Incarnation(1));
    Socket socket = connectToFirst();
    writeFrame(socket, CODEC.encode(new Envelope(unlisted, new AttestationRequest(1, 1))));
    assertEquals(-1, socket.getInputStream().read());
    assertEquals(1, first.statistics().refused());
    assertTrue(received.isEmpty());
  }

  @Test
  @DisplayName("closes a connection after a malformed or an oversized frame")
  void refusesMalformed() throws Exception {
    final PeerTransport first = start(FIRST, firstEndpoint, new LinkedBlockingQueue<>());
    Socket malformed = connectToFirst();
    writeFrame(malformed, new byte[] {1, 2, 3});
    assertEquals(-1, malformed.getInputStream().read());
    Socket oversized = connectToFirst();
    new DataOutputStream(oversized.getOutputStream()).writeInt(Integer.MAX_VALUE);
    assertEquals(-1, oversized.getInputStream().read());
    assertEquals(2, first.statistics().malformed());
  }

  @Test
  @DisplayName("sends to listed hosts only")
  void sendsToListedOnly() {
    PeerTransport first = start(FIRST, firstEndpoint, new LinkedBlockingQueue<>());
    assertFalse(first.send(new HostName("stranger"), new AttestationRequest(1, 1)));
    assertEquals(1, first.statistics().dropped());
  }

  @Test
  @DisplayName("fails to start when its endpoint is in use")
  void rejectsEndpointInUse() {
    start(FIRST, firstEndpoint, new LinkedBlockingQueue<>());
    assertThrows(
        PeerTransportException.class,
        () -> start(SECOND, firstEndpoint, new LinkedBlockingQueue<>()));
  }
}
