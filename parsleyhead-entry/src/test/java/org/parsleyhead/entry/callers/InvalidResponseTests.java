package org.parsleyhead.entry.callers;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.request.RequestDescription;
import org.parsleyhead.core.request.RequestEffect;
import org.parsleyhead.core.request.RequestEvent;
import org.parsleyhead.core.ticket.UpstreamItem;
import org.parsleyhead.entry.upstream.UpstreamClient;
import org.parsleyhead.entry.upstream.UpstreamSettings;
import org.parsleyhead.runtime.duty.MonotonicClock;

@DisplayName("A response of a plain service")
@Timeout(60)
class InvalidResponseTests {

  private static final Duration LIMIT = Duration.ofSeconds(10);
  private static final int READ_BYTES = 1000;
  private static final int UPLOAD_BYTES = 4_000_000;

  private final BlockingQueue<RequestEvent> events = new LinkedBlockingQueue<>();
  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final UpstreamClient client =
      new UpstreamClient(
          new HostName("host-1"),
          new UpstreamSettings(LIMIT, LIMIT, LIMIT),
          1,
          MonotonicClock.SYSTEM,
          events::add);
  private ServerSocket upstream;
  private ServerSocket callers;

  @BeforeEach
  void listen() throws IOException {
    upstream = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    callers = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void close() throws IOException {
    client.close();
    upstream.close();
    callers.close();
    eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** Reads the beginning of one request, writes a response, and resets or closes the connection. */
  private void serve(String response, int delayMilliseconds, boolean reset) {
    Thread server =
        new Thread(
            () -> {
              try (Socket connection = upstream.accept()) {
                connection.getInputStream().read(new byte[READ_BYTES]);
                connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(delayMilliseconds);
                connection.setSoLinger(reset, 0);
              } catch (IOException | InterruptedException failure) {
                throw new IllegalStateException(failure);
              }
            });
    server.setDaemon(true);
    server.start();
  }

  /** Sends a request, and returns the event that ends it. */
  private RequestEvent ending(int uploadBytes) throws Exception {
    Channel channel =
        new Bootstrap()
            .group(eventLoops)
            .channel(NioSocketChannel.class)
            .handler(new HttpResponseEncoder())
            .connect(callers.getLocalSocketAddress())
            .sync()
            .channel();
    try (Socket caller = callers.accept()) {
      RequestIdentifier identifier = new RequestIdentifier("request-1");
      RequestDescription description =
          new RequestDescription(
              identifier, "POST", "/x", Optional.empty(), Optional.empty(), Optional.empty(), "");
      Exchange exchange =
          new Exchange(
              new ReceivedRequest(
                  description, "/x", new DefaultHttpHeaders(), new byte[uploadBytes], false),
              channel,
              1 << 16,
              false,
              () -> {});
      UpstreamItem item =
          new UpstreamItem(
              new UpstreamName("upstream"),
              Endpoint.parse("127.0.0.1:" + upstream.getLocalPort()),
              new FailureDomainName("domain"),
              Optional.empty(),
              false,
              false);
      client.send(
          new RequestEffect.Send(
              identifier, 1, item, Optional.empty(), MonotonicClock.SYSTEM.now().plus(LIMIT), true),
          exchange);
      RequestEvent event = events.poll(2 * LIMIT.toSeconds(), TimeUnit.SECONDS);
      assertFalse(caller.isClosed());
      return event;
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "0", "20", "600", "999", "2000"})
  @DisplayName(
      "with a status outside 100 to 599 fails the attempt, which guards against a caller that"
          + " receives that status")
  void failsByStatus(String status) throws Exception {
    serve("HTTP/1.1 " + status + " Text\r\nContent-Length: 1\r\n\r\nx", 2000, false);
    assertInstanceOf(RequestEvent.AttemptFailed.class, ending(0));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 5, 33})
  @DisplayName(
      "without a length is not complete if the connection is reset, which guards against a part"
          + " that is taken for the whole")
  void failsByReset(int delayMilliseconds) throws Exception {
    serve("HTTP/1.1 200 OK\r\nServer: s\r\n\r\npart", delayMilliseconds, true);
    assertInstanceOf(RequestEvent.AttemptFailed.class, ending(0));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 5, 33})
  @DisplayName(
      "without a length is not complete if the connection is reset while the request is written,"
          + " which guards against a part that is taken for the whole")
  void failsByResetDuringUpload(int delayMilliseconds) throws Exception {
    serve("HTTP/1.1 200 OK\r\nServer: s\r\n\r\npart", delayMilliseconds, true);
    assertInstanceOf(RequestEvent.AttemptFailed.class, ending(UPLOAD_BYTES));
  }

  @Test
  @DisplayName(
      "without a length is complete if the connection is closed in order, which guards against too"
          + " strict a check")
  void completesByClose() throws Exception {
    serve("HTTP/1.1 200 OK\r\nServer: s\r\n\r\nwhole", 0, false);
    assertInstanceOf(RequestEvent.AnswerFinished.class, ending(0));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "whole"})
  @DisplayName(
      "without any header is complete, which guards against a caller that waits for a response"
          + " that was received")
  void completesWithoutHeaders(String body) throws Exception {
    serve("HTTP/1.1 200 OK\r\n\r\n" + body, 0, false);
    assertInstanceOf(RequestEvent.AnswerFinished.class, ending(0));
  }
}
