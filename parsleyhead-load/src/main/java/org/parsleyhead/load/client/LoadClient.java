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
 * Sends planned requests over HTTP.
 *
 * <p>Thread-safe. Each request that is sent has exactly one outcome.
 */
public final class LoadClient {

  private final AsyncHttpClient client;
  private final LongSupplier clock;
  private final BetweenTokens betweenTokens;
  private final BiConsumer<PlannedRequest, Outcome> outcomes;

  /** Takes the time between two parts of a stream. Implementations are thread-safe. */
  @FunctionalInterface
  public interface BetweenTokens {

    /** Takes a time in nanoseconds. */
    void accept(PlannedRequest request, long nanoseconds);
  }

  /**
   * Creates a client.
   *
   * @param client sends requests and follows no redirects
   * @param clock the monotonic clock in nanoseconds
   * @param betweenTokens takes the times between parts of streams
   * @param outcomes takes the outcomes, from the client's threads
   */
  public LoadClient(
      AsyncHttpClient client,
      LongSupplier clock,
      BetweenTokens betweenTokens,
      BiConsumer<PlannedRequest, Outcome> outcomes) {
    this.client = client;
    this.clock = clock;
    this.betweenTokens = betweenTokens;
    this.outcomes = outcomes;
  }

  /** Sends a request that was due at a reading of the clock. */
  public void send(PlannedRequest request, long dueTime) {
    RequestProgress progress =
        new RequestProgress(
            request,
            dueTime,
            clock.getAsLong(),
            nanoseconds -> betweenTokens.accept(request, nanoseconds));
    build(request)
        .execute(new RequestHandler(progress, clock, outcome -> outcomes.accept(request, outcome)));
  }

  private BoundRequestBuilder build(PlannedRequest request) {
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
    String body = call ? request.content() : completion(request).toString();
    return builder.setBody(body.getBytes(StandardCharsets.UTF_8));
  }

  private static ObjectNode completion(PlannedRequest request) {
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
