package org.parsleyhead.standin.http;

/** Handles received requests. Implementations are thread-safe and must not block. */
@FunctionalInterface
public interface HttpRequestHandler {

  /** Handles a request; the response may be sent later from another thread. */
  void handle(HttpRequestMessage request, Exchange exchange);
}
