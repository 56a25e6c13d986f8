package org.parsleyhead.entry.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.channel.ChannelPoolPartitioning;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.request.RequestEffect;
import org.parsleyhead.entry.callers.Exchange;
import org.parsleyhead.entry.callers.ReceivedRequest;
import org.parsleyhead.runtime.duty.MonotonicClock;

/**
 * Sends requests to upstreams and relays their answers.
 *
 * <p>Thread-safe. The library's own retries and redirects are off: one {@link RequestEffect.Send}
 * sends at most once. A request that is not idempotent gets a connection of its own, so that no
 * connection which went silent while it was idle can leave its outcome unknown.
 */
public final class UpstreamClient implements AutoCloseable {

  private static final String HOST_HEADER = "X-Parsleyhead-Host";
  private static final String REQUEST_IDENTIFIER_HEADER = "X-Request-Id";
  private static final String MODEL_API_PREFIX = "/v1";
  private static final Duration UNLIMITED = Duration.ofDays(1);

  private final HostName self;
  private final UpstreamSettings settings;
  private final AsyncHttpClient client;
  private final AttemptListener listener;
  private final MonotonicClock clock;
  private final Map<RequestIdentifier, ListenableFuture<Void>> running = new ConcurrentHashMap<>();

  /** Creates a client whose connections are served by a number of event loops. */
  public UpstreamClient(
      HostName self,
      UpstreamSettings settings,
      int workerThreads,
      MonotonicClock clock,
      AttemptListener listener) {
    this.self = Preconditions.requireNonNull(self, "self");
    this.settings = Preconditions.requireNonNull(settings, "settings");
    this.clock = Preconditions.requireNonNull(clock, "clock");
    this.listener = Preconditions.requireNonNull(listener, "listener");
    this.client = Dsl.asyncHttpClient(config(settings, workerThreads));
  }

  /** Sends a request; what becomes of it is told to the listener. */
  public void send(RequestEffect.Send send, Exchange exchange) {
    exchange.execute(() -> sendNow(send, exchange));
  }

  /** Closes the connection of an attempt. */
  public void cancel(RequestEffect.CancelAttempt cancellation, Exchange exchange) {
    exchange.execute(
        () -> {
          if (exchange.isCurrent(cancellation.attempt())) {
            exchange.startAttempt(0);
          }
          disconnect(cancellation.identifier());
        });
  }

  /** Closes the connection of the running attempt of a request, if there is one. */
  public void disconnect(RequestIdentifier identifier) {
    ListenableFuture<Void> future = running.remove(identifier);
    if (future != null) {
      future.cancel(true);
    }
  }

  @Override
  public void close() {
    try {
      client.close();
    } catch (IOException exception) {
      throw new UpstreamException("the client cannot be closed", exception);
    }
  }

  private void sendNow(RequestEffect.Send send, Exchange exchange) {
    exchange.startAttempt(send.attempt());
    AttemptReport report =
        new AttemptReport(exchange, send.attempt(), listener, () -> disconnect(send.identifier()));
    AnswerRelay relay = relay(send, exchange, report);
    AttemptHandler handler = new AttemptHandler(exchange, relay, clock, send.writeDeadline());
    ListenableFuture<Void> future = client.executeRequest(request(send, exchange), handler);
    running.put(send.identifier(), future);
    future.addListener(() -> running.remove(send.identifier(), future), Runnable::run);
  }

  private static AnswerRelay relay(
      RequestEffect.Send send, Exchange exchange, AttemptReport report) {
    boolean streamed =
        send.adapter().isPresent()
            && exchange.request().description().modelCall().orElseThrow().streamed();
    return streamed
        ? new StreamRelay(exchange, send.adapter().orElseThrow(), report)
        : new WholeRelay(exchange, send.adapter(), report);
  }

  private Request request(RequestEffect.Send send, Exchange exchange) {
    ReceivedRequest received = exchange.request();
    RequestBuilder builder = new RequestBuilder(received.description().method());
    builder.setUrl("http://" + send.upstream().endpoint() + path(send.adapter(), received));
    HttpHeaders headers = received.headers().copy();
    headers.set(HOST_HEADER, self.text());
    headers.set(REQUEST_IDENTIFIER_HEADER, send.identifier().text());
    if (exchange.tokensPassed() > 0) {
      headers.set(StreamRelay.RESUME_FROM_HEADER, Integer.toString(exchange.tokensPassed()));
    }
    builder.setHeaders(headers);
    if (received.body().length > 0) {
      builder.setBody(received.body());
    }
    builder.setReadTimeout(silenceLimit(send.adapter(), received));
    if (!send.mayReuseConnection()) {
      builder.setChannelPoolPartitioning(ownConnection(send.identifier()));
    }
    return builder.build();
  }

  private Duration silenceLimit(Optional<AdapterReference> adapter, ReceivedRequest received) {
    boolean streamed =
        adapter.isPresent() && received.description().modelCall().orElseThrow().streamed();
    return streamed ? settings.progressTimeout() : settings.answerTimeout();
  }

  private static String path(Optional<AdapterReference> adapter, ReceivedRequest received) {
    if (adapter.isEmpty()) {
      return received.target();
    }
    boolean chat = received.description().path().endsWith("/chat/completions");
    return MODEL_API_PREFIX + (chat ? "/chat/completions" : "/completions");
  }

  private static ChannelPoolPartitioning ownConnection(RequestIdentifier identifier) {
    return (uri, virtualHost, proxyServer) -> identifier;
  }

  private static DefaultAsyncHttpClientConfig config(UpstreamSettings settings, int workerThreads) {
    return Dsl.config()
        .setThreadPoolName("upstream")
        .setIoThreadsCount(workerThreads)
        .setUseNativeTransport(false)
        .setMaxRequestRetry(0)
        .setFollowRedirect(false)
        .setCookieStore(null)
        .setKeepAlive(true)
        .setCompressionEnforced(false)
        .setEnableAutomaticDecompression(false)
        .setConnectTimeout(settings.connectTimeout())
        .setRequestTimeout(UNLIMITED)
        .setReadTimeout(settings.answerTimeout())
        .setUserAgent("parsleyhead")
        .build();
  }
}
