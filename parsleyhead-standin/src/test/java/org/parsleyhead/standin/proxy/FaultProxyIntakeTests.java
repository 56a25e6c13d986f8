package org.parsleyhead.standin.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.runtime.duty.MonotonicClock;

@DisplayName("A proxy that takes no connections")
class FaultProxyIntakeTests {

  private static final int FIRST_PORT = 10_000;
  private static final int PORT_RANGE = 2_000;
  private static final int TIMEOUT_MILLISECONDS = 250;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private ServerSocket target;
  private Endpoint endpoint;
  private FaultProxy proxy;

  @BeforeEach
  void open() throws IOException {
    target = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    endpoint = freeEndpoint();
    proxy =
        new FaultProxy(
            "proxy", endpoint, endpointOf(target), ProxyFault.NONE, group, MonotonicClock.SYSTEM);
    proxy.open();
  }

  @AfterEach
  void close() throws IOException {
    proxy.close();
    target.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Returns an endpoint below the range that the system uses for outgoing connections. */
  private static Endpoint freeEndpoint() {
    int start = (int) (ProcessHandle.current().pid() % PORT_RANGE);
    for (int port = FIRST_PORT + start; port < FIRST_PORT + 2 * PORT_RANGE; port++) {
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return endpointOf(socket);
      } catch (IOException exception) {
        continue;
      }
    }
    throw new IllegalStateException("no free port found");
  }

  private static Endpoint endpointOf(ServerSocket socket) {
    return Endpoint.parse("127.0.0.1:" + socket.getLocalPort());
  }

  private Socket connect(int timeoutMilliseconds) throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress(endpoint.address(), endpoint.port()), timeoutMilliseconds);
    return socket;
  }

  private void assertReachesTarget(Socket caller) throws IOException {
    caller.getOutputStream().write(7);
    int received = -1;
    while (received < 0) {
      try (Socket accepted = target.accept()) {
        received = accepted.getInputStream().read();
      }
    }
    assertEquals(7, received);
  }

  @Test
  @DisplayName("lets the kernel complete them, and takes them once it accepts again")
  void queues() throws IOException {
    proxy.setIntake(Intake.QUEUING);
    target.setSoTimeout(TIMEOUT_MILLISECONDS);
    try (Socket caller = connect(0)) {
      caller.getOutputStream().write(1);
      assertThrows(SocketTimeoutException.class, target::accept);
      target.setSoTimeout(0);
      proxy.setIntake(Intake.ACCEPTING);
      try (Socket accepted = target.accept()) {
        assertEquals(1, accepted.getInputStream().read());
      }
    }
  }

  @Test
  @DisplayName("lets the kernel ignore them, until it accepts again")
  void ignores() throws IOException {
    proxy.setIntake(Intake.IGNORING);
    assertThrows(SocketTimeoutException.class, () -> connect(TIMEOUT_MILLISECONDS));
    proxy.setIntake(Intake.ACCEPTING);
    try (Socket caller = connect(0)) {
      assertReachesTarget(caller);
    }
  }

  @Test
  @DisplayName("goes on with the connections that are open")
  void keepsOpenConnections() throws IOException {
    try (Socket caller = connect(0);
        Socket accepted = target.accept()) {
      proxy.setIntake(Intake.IGNORING);
      caller.getOutputStream().write(1);
      assertEquals(1, accepted.getInputStream().read());
      proxy.setIntake(Intake.ACCEPTING);
    }
  }
}
