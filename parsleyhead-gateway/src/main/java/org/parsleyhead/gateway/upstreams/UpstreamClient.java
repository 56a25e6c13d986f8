package org.parsleyhead.gateway.upstreams;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.parsleyhead.core.dispatch.AttemptOutcome;
import org.parsleyhead.core.dispatch.AttemptResult;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.core.dispatch.DispatchEvent;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.gateway.api.HttpDialect;
import org.parsleyhead.gateway.callers.Exchange;

/**
 * Sends requests to instances and forwards their responses.
 *
 * <p>Confined to the event loop. Each attempt writes the request at most once. A request that must
 * not be repeated is written to an idle connection only if the connection was used very recently.
 */
public final class UpstreamClient {

  /** A host without power does not refuse a connection, so that only this timeout detects it. */
  private static final int CONNECT_TIMEOUT_MILLISECONDS = 400;

  /**
   * The maximum idle time of a connection that is reused for a request that must not be repeated.
   */
  private static final Duration MAXIMUM_IDLE_FOR_NON_REPEATABLE = Duration.ofMillis(400);

  /** The maximum number of bytes of responses that are buffered; a part of the smallest heap. */
  private static final long MAXIMUM_BUFFERED_BYTES = 24 << 20;

  private final HttpDialect dialect;
  private final AttemptListener listener;
  private final EventLoopGroup eventLoops;
  private final IdleConnectionPool idlePool = new IdleConnectionPool();
  private final ResponseMemory responseMemory =
      new ResponseMemory(MAXIMUM_BUFFERED_BYTES, MAXIMUM_BUFFERED_BYTES / 2);
  private final Map<Long, UpstreamAttempt> activeAttempts = new HashMap<>();
  private final AtomicLong openedConnections = new AtomicLong();

  /** Creates a client without connections. */
  public UpstreamClient(HttpDialect dialect, AttemptListener listener, EventLoopGroup eventLoops) {
    this.dialect = dialect;
    this.listener = listener;
    this.eventLoops = eventLoops;
  }

  /** Starts an attempt to send a request. */
  public void send(DispatchEffect.Send send, Exchange exchange) {
    UpstreamAttempt attempt =
        new UpstreamAttempt(
            send, exchange, dialect, listener, idlePool, responseMemory, this::attemptEnded);
    activeAttempts.put(send.request().key(), attempt);
    if (exchange.ended()) {
      attempt.endUnsent("caller_left");
      return;
    }
    Optional<UpstreamConnection> reused =
        idlePool.acquire(
            send.instance(),
            send.request().identifier(),
            send.repeatable() ? Duration.ofHours(1) : MAXIMUM_IDLE_FOR_NON_REPEATABLE);
    if (reused.isPresent()) {
      attempt.write(reused.get());
    } else {
      connect(send.instance(), attempt);
    }
  }

  /** Returns the number of connections that were opened so far. Thread-safe. */
  public long openedConnections() {
    return openedConnections.get();
  }

  /** Returns the bytes of responses that are buffered. */
  long bufferedBytes() {
    return responseMemory.totalBytes();
  }

  /**
   * Closes the connection of an attempt; nothing more of it is forwarded or reported.
   *
   * @return false if the attempt has ended before
   */
  public boolean cancel(long requestKey, int number) {
    UpstreamAttempt attempt = activeAttempts.get(requestKey);
    if (attempt == null || attempt.attemptNumber() != number) {
      return false;
    }
    activeAttempts.remove(requestKey);
    attempt.cancel();
    return true;
  }

  /**
   * Ends an attempt whose server is silent, which has not run if its connection was not open yet.
   * Keeps it if the server has answered meanwhile. Does nothing if it has ended, since the event
   * that reports this is on its way.
   */
  public void withdraw(DispatchEffect.WithdrawAttempt withdraw) {
    UpstreamAttempt attempt = activeAttempts.get(withdraw.request().key());
    if (attempt == null || attempt.attemptNumber() != withdraw.attempt()) {
      return;
    }
    if (!attempt.silent(withdraw.answering())) {
      attempt.log().event("send_kept", "reason", withdraw.reason());
      listener.accept(new DispatchEvent.AttemptKept(attempt.requestKey(), attempt.attemptNumber()));
      return;
    }
    attempt.cancel();
    attemptEnded(
        attempt,
        new AttemptResult(
            attempt.written() ? AttemptOutcome.WITHDRAWN : AttemptOutcome.NOT_SENT,
            0,
            withdraw.answering(),
            false,
            Optional.empty(),
            withdraw.reason()));
  }

  private void connect(Instance instance, UpstreamAttempt attempt) {
    ChannelFuture connected =
        new Bootstrap()
            .group(eventLoops)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new UnansweredByteLimit());
                  }
                })
            .connect(instance.endpoint().address(), instance.endpoint().port());
    connected.addListener(
        done -> {
          if (done.isSuccess()) {
            attempt.write(
                new UpstreamConnection(connected.channel(), openedConnections.incrementAndGet()));
          } else {
            attempt.endUnsent("connect: " + done.cause().getClass().getSimpleName());
          }
        });
  }

  private void attemptEnded(UpstreamAttempt attempt, AttemptResult result) {
    if (activeAttempts.remove(attempt.requestKey(), attempt)) {
      if (result.outcome() != AttemptOutcome.COMPLETED) {
        attempt.log().ended(result);
      }
      listener.accept(
          new DispatchEvent.AttemptEnded(
              attempt.requestKey(), attempt.attemptNumber(), result, attempt.takeReportedLoad()));
    }
  }
}
