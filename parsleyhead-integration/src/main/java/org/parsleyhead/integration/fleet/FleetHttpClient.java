package org.parsleyhead.integration.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** A blocking HTTP client for tests, measurements and the demonstration. Thread-safe. */
public final class FleetHttpClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  private final HttpClient client;

  /** Creates a client for a version of HTTP. */
  public FleetHttpClient(HttpClient.Version version) {
    this.client =
        HttpClient.newBuilder().version(version).connectTimeout(Duration.ofSeconds(5)).build();
  }

  /** Creates a client for HTTP/1.1. */
  public FleetHttpClient() {
    this(HttpClient.Version.HTTP_1_1);
  }

  /**
   * Sends a request and returns its response; an empty body is not sent.
   *
   * @throws FleetException if there is no complete response within the timeout of 60 s
   */
  public HttpResponse<String> call(
      String method, String endpoint, String path, Map<String, String> headers, String body) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + endpoint + path)).timeout(TIMEOUT);
    headers.forEach(request::header);
    request.method(
        method,
        body.isEmpty()
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(body));
    try {
      return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    } catch (IOException exception) {
      throw new FleetException("no response from " + endpoint + path, exception);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted while waiting for a response", exception);
    }
  }

  /**
   * Sends a request with a caller's key as bearer token.
   *
   * @throws FleetException if there is no complete response within the timeout of 60 s
   */
  public HttpResponse<String> call(
      String method, String endpoint, String path, String key, String body) {
    return call(method, endpoint, path, Map.of("Authorization", "Bearer " + key), body);
  }

  /** Returns the response to a GET request, or empty if there is no complete response. */
  public Optional<HttpResponse<String>> tryGet(String endpoint, String path) {
    try {
      return Optional.of(call("GET", endpoint, path, Map.of(), ""));
    } catch (FleetException exception) {
      return Optional.empty();
    }
  }

  /** Returns the lines of the response to a GET request. */
  public List<String> lines(String endpoint, String path) {
    return new ArrayList<>(call("GET", endpoint, path, Map.of(), "").body().lines().toList());
  }

  /**
   * Polls a condition until it holds.
   *
   * @param what the awaited state, for the error message
   * @param timeout how long to wait
   * @param condition the condition
   * @throws FleetException if the condition does not hold within the timeout
   */
  public static void await(String what, Duration timeout, BooleanSupplier condition) {
    long end = System.nanoTime() + timeout.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new FleetException("timed out waiting for " + what);
      }
      try {
        Thread.sleep(POLL_INTERVAL.toMillis());
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
        throw new FleetException("interrupted while waiting for a condition", exception);
      }
    }
  }
}
