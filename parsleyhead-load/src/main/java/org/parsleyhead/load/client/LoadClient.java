package org.parsleyhead.load.client;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.parsleyhead.load.plan.PlannedRequest;
import org.parsleyhead.load.result.Outcome;
import org.parsleyhead.load.settings.LoadSettings.Kind;

/**
 * Sends the planned requests of a load run over HTTP.
 *
 * <p>Thread-safe. Each sent request yields exactly one outcome.
 */
public final class LoadClient {

  private final AsyncHttpClient client;
  private final LongSupplier clock;
  private final InterTokenLatencyListener interTokenLatencies;
  private final BiConsumer<PlannedRequest, Outcome> outcomes;

  /**
   * Receives the latencies between parts of streamed responses. Implementations are thread-safe.
   */
  @FunctionalInterface
  public interface InterTokenLatencyListener {

    /** Receives the time between two consecutive parts of a response, in nanoseconds. */
    void accept(PlannedRequest request, long nanoseconds);
  }

  /**
   * Creates a client.
   *
   * @param client the HTTP client; must neither follow redirects nor retry
   * @param clock a monotonic clock in nanoseconds
   * @param interTokenLatencies receives the inter-token latencies
   * @param outcomes receives the outcomes on the threads of the HTTP client
   */
  public LoadClient(
      AsyncHttpClient client,
      LongSupplier clock,
      InterTokenLatencyListener interTokenLatencies,
      BiConsumer<PlannedRequest, Outcome> outcomes) {
    this.client = client;
    this.clock = clock;
    this.interTokenLatencies = interTokenLatencies;
    this.outcomes = outcomes;
  }

  /** Sends a request that was due at the given reading of the clock. */
  public void send(PlannedRequest request, long dueTime) {
    RequestProgress progress =
        new RequestProgress(
            request,
            dueTime,
            clock.getAsLong(),
            nanoseconds -> interTokenLatencies.accept(request, nanoseconds));
    buildRequest(request)
        .execute(
            new ResponseHandler(progress, clock, outcome -> outcomes.accept(request, outcome)));
  }

  private BoundRequestBuilder buildRequest(PlannedRequest request) {
    boolean call = request.traffic().kind() == Kind.CALL;
    String uri = "http://" + request.target() + request.traffic().path();
    BoundRequestBuilder builder =
        client
            .prepare(call ? request.traffic().method() : "POST", uri)
            .setHeader("X-Request-Id", request.identifier())
            .setHeader("Content-Type", call ? "text/plain" : "application/json");
    request.key().ifPresent(key -> builder.setHeader("Authorization", "Bearer " + key));
    if (call) {
      request.idempotencyKey().ifPresent(key -> builder.setHeader("Idempotency-Key", key));
    }
    String body = call ? request.content() : completionBody(request).toString();
    return builder.setBody(body.getBytes(StandardCharsets.UTF_8));
  }

  private static ObjectNode completionBody(PlannedRequest request) {
    ObjectNode document = JsonNodeFactory.instance.objectNode();
    document.put("model", request.model());
    if (request.traffic().kind() == Kind.CHAT) {
      document
          .putArray("messages")
          .addObject()
          .put("role", "user")
          .put("content", request.content());
    } else {
      document.put("prompt", request.content());
    }
    document.put("max_tokens", request.maximumTokens());
    if (request.traffic().streamed()) {
      document.put("stream", true);
      document.putObject("stream_options").put("include_usage", true);
    }
    return document;
  }
}
