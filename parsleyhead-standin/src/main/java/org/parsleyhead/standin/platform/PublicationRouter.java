package org.parsleyhead.standin.platform;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.standin.http.HttpRequestMessage;

/** Reads what a call asks of a publication service. Implementations are pure. */
@FunctionalInterface
interface PublicationRouter {

  /** The path under which the host list is kept. */
  String HOSTS_PATH = "hosts";

  /** The wait of a watch that names none, in milliseconds. */
  long DEFAULT_WAIT_MILLISECONDS = 30_000;

  /** Returns the event of a call; empty if the service has no such call. */
  Optional<PublicationEvent> route(HttpRequestMessage call, long exchange);

  /** The calls of the configuration service. */
  static Optional<PublicationEvent> configuration(HttpRequestMessage call, long exchange) {
    if (!call.method().equals("GET")) {
      return Optional.empty();
    }
    Optional<String> watched = call.pathAfterPrefix("/v1/watch/");
    if (watched.isPresent()) {
      return Optional.of(watch(call, exchange, watched.get(), "revision"));
    }
    return call.pathAfterPrefix("/v1/values/")
        .map(path -> new PublicationEvent.Read(exchange, path));
  }

  /** The calls of the host list. */
  static Optional<PublicationEvent> hosts(HttpRequestMessage call, long exchange) {
    if (call.hasMethodAndPath("GET", "/v1/hosts/watch")) {
      return Optional.of(watch(call, exchange, HOSTS_PATH, "version"));
    }
    return call.hasMethodAndPath("GET", "/v1/hosts")
        ? Optional.of(new PublicationEvent.Read(exchange, HOSTS_PATH))
        : Optional.empty();
  }

  private static PublicationEvent watch(
      HttpRequestMessage call, long exchange, String path, String revisionName) {
    return new PublicationEvent.Watch(
        exchange,
        path,
        call.queryNumber(revisionName, 0),
        Duration.ofMillis(call.queryNumber("wait_milliseconds", DEFAULT_WAIT_MILLISECONDS)));
  }
}
