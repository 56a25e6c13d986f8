package org.parsleyhead.standin.platform;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.standin.http.HttpRequestMessage;

/** Maps the requests to a publication service to its events. Implementations are pure functions. */
@FunctionalInterface
interface PublicationRouter {

  /** The path under which the host list is stored. */
  String HOSTS_PATH = "hosts";

  /** The maximum wait of a watch that specifies none, in milliseconds. */
  long DEFAULT_WAIT_MILLISECONDS = 30_000;

  /** Returns the event of a request; empty if the service has no such endpoint. */
  Optional<PublicationEvent> route(HttpRequestMessage request, long exchange);

  /** Maps the requests to the configuration service. */
  static Optional<PublicationEvent> configuration(HttpRequestMessage request, long exchange) {
    if (!request.method().equals("GET")) {
      return Optional.empty();
    }
    Optional<String> watched = request.pathAfterPrefix("/v1/watch/");
    if (watched.isPresent()) {
      return Optional.of(watch(request, exchange, watched.get(), "revision"));
    }
    return request
        .pathAfterPrefix("/v1/values/")
        .map(path -> new PublicationEvent.Read(exchange, path));
  }

  /** Maps the requests to the host list. */
  static Optional<PublicationEvent> hosts(HttpRequestMessage request, long exchange) {
    if (request.hasMethodAndPath("GET", "/v1/hosts/watch")) {
      return Optional.of(watch(request, exchange, HOSTS_PATH, "version"));
    }
    return request.hasMethodAndPath("GET", "/v1/hosts")
        ? Optional.of(new PublicationEvent.Read(exchange, HOSTS_PATH))
        : Optional.empty();
  }

  private static PublicationEvent watch(
      HttpRequestMessage request, long exchange, String path, String revisionParameter) {
    return new PublicationEvent.Watch(
        exchange,
        path,
        request.queryNumber(revisionParameter, 0),
        Duration.ofMillis(request.queryNumber("wait_milliseconds", DEFAULT_WAIT_MILLISECONDS)));
  }
}
