package org.parsleyhead.standin.http;

/** Takes up one request. Implementations are thread-safe and do not block. */
@FunctionalInterface
public interface HttpRequestHandler {

  /** Takes up a request; its answer may follow later from another thread. */
  void handle(HttpRequestMessage call, Exchange exchange);
}
