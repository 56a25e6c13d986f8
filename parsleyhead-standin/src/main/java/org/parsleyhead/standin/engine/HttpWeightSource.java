package org.parsleyhead.standin.engine;

import java.util.Optional;
import java.util.function.Consumer;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Response;
import org.parsleyhead.core.api.Endpoint;

/** Fetches weights from a weight store over HTTP. Thread-safe. */
final class HttpWeightSource implements WeightSource {

  private static final int STATUS_UNAVAILABLE = 503;

  private final AsyncHttpClient client;
  private final Endpoint store;

  HttpWeightSource(AsyncHttpClient client, Endpoint store) {
    this.client = client;
    this.store = store;
  }

  @Override
  public void fetch(String path, Consumer<FetchOutcome> callback) {
    client
        .prepareGet("http://" + store + "/v1/weights/" + path.replaceFirst("^/+", ""))
        .execute()
        .toCompletableFuture()
        .handle((response, failure) -> outcome(response))
        .thenAccept(callback);
  }

  private static FetchOutcome outcome(Response response) {
    return response == null
        ? new FetchOutcome(STATUS_UNAVAILABLE, Optional.empty())
        : new FetchOutcome(
            response.getStatusCode(), Optional.ofNullable(response.getHeader("Retry-After")));
  }
}
