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
 * Sends requests to upstreams and relays their responses.
 *
 * <p>Thread-safe. The HTTP client's own retries and redirects are disabled: one {@link
 * RequestEffect.Send} sends at most once. A request that is not idempotent uses a dedicated
 * connection, because a pooled connection that became unresponsive while idle could leave its
 * outcome unknown.
 */
public final class UpstreamClient implements AutoCloseable {

  private static final String HOST_HEADER = "X-Parsleyhead-Host";
  private static final String REQUEST_IDENTIFIER_HEADER = "X-Request-Id";
  private static final String MODEL_API_PREFIX = "/v1";
  private static final Duration UNLIMITED_REQUEST_TIMEOUT = Duration.ofDays(1);

  private final HostName self;
  private final UpstreamSettings settings;
  private final AsyncHttpClient client;
  private final AttemptListener listener;
  private final MonotonicClock clock;
  private final Map<RequestIdentifier, ListenableFuture<Void>> activeAttempts =
      new ConcurrentHashMap<>();

  /** Creates a client that serves its connections with the given number of event loop threads. */
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

  /** Sends a request and reports its events to the listener. */
  public void send(RequestEffect.Send send, Exchange exchange) {
    exchange.execute(() -> sendNow(send, exchange));
  }

  /** Cancels an attempt and closes its connection. */
  public void cancel(RequestEffect.CancelAttempt cancellation, Exchange exchange) {
    exchange.execute(
        () -> {
          if (exchange.isCurrent(cancellation.attempt())) {
            exchange.startAttempt(0);
          }
          disconnect(cancellation.identifier());
        });
  }

  /** Closes the connection of the active attempt of a request, if there is one. */
  public void disconnect(RequestIdentifier identifier) {
    ListenableFuture<Void> future = activeAttempts.remove(identifier);
    if (future != null) {
      future.cancel(true);
    }
  }

  @Override
  public void close() {
    try {
      client.close();
    } catch (IOException exception) {
      throw new UpstreamException("the upstream client cannot be closed", exception);
    }
  }

  private void sendNow(RequestEffect.Send send, Exchange exchange) {
    exchange.startAttempt(send.attempt());
    AttemptReporter reporter =
        new AttemptReporter(
            exchange, send.attempt(), listener, () -> disconnect(send.identifier()));
    ResponseRelay relay = relay(send, exchange, reporter);
    AttemptHandler handler = new AttemptHandler(exchange, relay, clock, send.writeDeadline());
    ListenableFuture<Void> future = client.executeRequest(request(send, exchange), handler);
    activeAttempts.put(send.identifier(), future);
    future.addListener(() -> activeAttempts.remove(send.identifier(), future), Runnable::run);
  }

  private static ResponseRelay relay(
      RequestEffect.Send send, Exchange exchange, AttemptReporter reporter) {
    boolean streamed =
        send.adapter().isPresent()
            && exchange.request().description().modelCall().orElseThrow().streamed();
    return streamed
        ? new StreamRelay(exchange, send.adapter().orElseThrow(), reporter)
        : new BufferedRelay(exchange, send.adapter(), reporter);
  }

  private Request request(RequestEffect.Send send, Exchange exchange) {
    ReceivedRequest received = exchange.request();
    RequestBuilder builder = new RequestBuilder(received.description().method());
    builder.setUrl("http://" + send.upstream().endpoint() + path(send.adapter(), received));
    HttpHeaders headers = received.headers().copy();
    headers.set(HOST_HEADER, self.text());
    headers.set(REQUEST_IDENTIFIER_HEADER, send.identifier().text());
    if (exchange.tokensSent() > 0) {
      headers.set(StreamRelay.RESUME_FROM_HEADER, Integer.toString(exchange.tokensSent()));
    }
    builder.setHeaders(headers);
    if (received.body().length > 0) {
      builder.setBody(received.body());
    }
    builder.setReadTimeout(readTimeout(send.adapter(), received));
    if (!send.mayReuseConnection()) {
      builder.setChannelPoolPartitioning(dedicatedConnection(send.identifier()));
    }
    return builder.build();
  }

  private Duration readTimeout(Optional<AdapterReference> adapter, ReceivedRequest received) {
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

  private static ChannelPoolPartitioning dedicatedConnection(RequestIdentifier identifier) {
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
        .setRequestTimeout(UNLIMITED_REQUEST_TIMEOUT)
        .setReadTimeout(settings.answerTimeout())
        .setUserAgent("parsleyhead")
        .build();
  }
}
