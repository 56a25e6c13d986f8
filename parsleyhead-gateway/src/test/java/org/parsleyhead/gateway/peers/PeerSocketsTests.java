package org.parsleyhead.gateway.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.parsleyhead.codec.peer.Envelope;
import org.parsleyhead.codec.peer.FleetMessageTypes;
import org.parsleyhead.codec.peer.PeerMessageCodec;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.fleet.LoadRequest;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.overload.RequestRank;

@DisplayName("The sockets between hosts")
@Timeout(60)
class PeerSocketsTests {

  private static final int MALFORMED_CONNECTIONS = 50;
  private static final int MALFORMED_BYTES = 400;

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("test-sockets", true), NioIoHandler.newFactory());
  private final BlockingQueue<Envelope> received = new LinkedBlockingQueue<>();

  @AfterEach
  void close() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static Endpoint freeEndpoint() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new Endpoint("127.0.0.1", free.getLocalPort());
    }
  }

  private PeerSockets sockets(Endpoint endpoint) {
    return new PeerSockets(
        new Sender(new HostName(endpoint.toString()), new Incarnation(1)),
        new PeerMessageCodec(FleetMessageTypes.TYPES),
        eventLoops,
        received::add);
  }

  private static LoadRequest message(String instance) {
    return new LoadRequest(
        "host",
        instance,
        new AdapterKey("base", "a1"),
        new RequestRank(0, Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO));
  }

  private String nextInstance() throws InterruptedException {
    Envelope envelope = received.poll(20, TimeUnit.SECONDS);
    return envelope == null ? "none" : ((LoadRequest) envelope.message()).instance();
  }

  @Test
  @DisplayName("answer on the connection that the other host has opened")
  void answerOnSameConnection() throws Exception {
    Endpoint first = freeEndpoint();
    Endpoint second = freeEndpoint();
    PeerSockets opener = sockets(first);
    PeerSockets accepter = sockets(second);
    accepter.open(second);
    opener.send(second.toString(), message("request"));
    assertEquals("request", nextInstance());
    accepter.send(first.toString(), message("answer"));
    assertEquals("answer", nextInstance());
  }

  @Test
  @DisplayName("keep a connection whose frames are acknowledged, and replace a silent one")
  void replaceSilentConnection() throws Exception {
    Endpoint self = freeEndpoint();
    try (ServerSocket silent = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      PeerSockets sockets = sockets(self);
      String target = "127.0.0.1:" + silent.getLocalPort();
      sockets.send(target, message("first"));
      try (Socket first = silent.accept()) {
        while (first.getInputStream().available() == 0) {
          Thread.sleep(10);
        }
        first.getOutputStream().write(new byte[4]);
        Thread.sleep(1_000);
        sockets.send(target, message("second"));
        Thread.sleep(1_000);
        sockets.send(target, message("third"));
        try (Socket second = silent.accept()) {
          assertTrue(second.isConnected());
        }
      }
    }
  }

  @Test
  @DisplayName("acknowledge a message that gets no answer")
  void acknowledge() throws Exception {
    Endpoint self = freeEndpoint();
    PeerSockets sockets = sockets(self);
    sockets.open(self);
    byte[] frame =
        new PeerMessageCodec(FleetMessageTypes.TYPES)
            .encode(
                new Envelope(
                    new Sender(new HostName("127.0.0.1:1"), new Incarnation(1)), message("one")));
    try (Socket socket = new Socket(self.address(), self.port())) {
      socket.getOutputStream().write(new byte[] {0, 0, 0, (byte) frame.length});
      socket.getOutputStream().write(frame);
      assertEquals("one", nextInstance());
      assertEquals(4, socket.getInputStream().readNBytes(4).length);
    }
  }

  @Test
  @DisplayName("refuse malformed frames and go on receiving")
  void refuseMalformedFrames() throws Exception {
    Endpoint self = freeEndpoint();
    PeerSockets sockets = sockets(self);
    sockets.open(self);
    Random random = new Random(20261204);
    for (int connection = 0; connection < MALFORMED_CONNECTIONS; connection++) {
      byte[] bytes = new byte[MALFORMED_BYTES];
      random.nextBytes(bytes);
      if (connection % 2 == 0) {
        bytes[0] = 0;
        bytes[1] = 0;
        bytes[2] = 0;
        bytes[3] = 40;
      }
      try (Socket socket = new Socket(self.address(), self.port())) {
        socket.getOutputStream().write(bytes);
      }
    }
    Endpoint other = freeEndpoint();
    sockets(other).send(self.toString(), message("sound"));
    assertEquals("sound", nextInstance());
  }
}
