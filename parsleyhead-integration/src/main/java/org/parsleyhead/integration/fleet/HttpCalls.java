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

/** Calls over HTTP for tests and the demonstration. Thread-safe. */
public final class HttpCalls {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  private final HttpClient client;

  /** Creates a caller that speaks a version of HTTP. */
  public HttpCalls(HttpClient.Version version) {
    this.client =
        HttpClient.newBuilder().version(version).connectTimeout(Duration.ofSeconds(5)).build();
  }

  /** Creates a caller that speaks HTTP/1.1. */
  public HttpCalls() {
    this(HttpClient.Version.HTTP_1_1);
  }

  /**
   * Makes a call.
   *
   * @throws FleetException if there is no whole answer
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
      throw new FleetException("no answer from " + endpoint + path, exception);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", exception);
    }
  }

  /** Makes a call with a caller's key. */
  public HttpResponse<String> call(
      String method, String endpoint, String path, String key, String body) {
    return call(method, endpoint, path, Map.of("Authorization", "Bearer " + key), body);
  }

  /** Returns the answer to a GET, or nothing if there is none. */
  public Optional<HttpResponse<String>> tryGet(String endpoint, String path) {
    try {
      return Optional.of(call("GET", endpoint, path, Map.of(), ""));
    } catch (FleetException exception) {
      return Optional.empty();
    }
  }

  /** Returns the lines of an answer. */
  public List<String> lines(String endpoint, String path) {
    return new ArrayList<>(call("GET", endpoint, path, Map.of(), "").body().lines().toList());
  }

  /**
   * Waits until a condition holds.
   *
   * @throws FleetException if it does not within the time
   */
  public static void await(String what, Duration timeout, BooleanSupplier condition) {
    long end = System.nanoTime() + timeout.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new FleetException("timed out waiting: " + what);
      }
      try {
        Thread.sleep(POLL_INTERVAL.toMillis());
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
        throw new FleetException("interrupted", exception);
      }
    }
  }
}
