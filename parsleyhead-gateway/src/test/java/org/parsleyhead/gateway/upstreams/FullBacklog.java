package org.parsleyhead.gateway.upstreams;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** A server that takes no connections: it accepts none, and its backlog is full. Thread-safe. */
public final class FullBacklog implements AutoCloseable {

  private static final int CONNECTIONS_THAT_FILL_BACKLOG = 8;

  private final ServerSocket listener;
  private final List<SocketChannel> fillers = new ArrayList<>();

  /** Opens the port and fills its backlog. */
  public FullBacklog() throws IOException {
    listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    for (int index = 0; index < CONNECTIONS_THAT_FILL_BACKLOG; index++) {
      SocketChannel filler = SocketChannel.open();
      filler.configureBlocking(false);
      filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port()));
      fillers.add(filler);
    }
  }

  /** Returns the port. */
  public int port() {
    return listener.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    for (SocketChannel filler : fillers) {
      filler.close();
    }
    listener.close();
  }
}
