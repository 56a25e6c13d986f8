package org.parsleyhead.core.request;

/** The stable codes of refusals, each with its HTTP status. */
public enum RefusalCode {
  /** The request is malformed. */
  INVALID_REQUEST("invalid_request", 400),
  /** The body contains the caller's key, which must not be sent to an upstream. */
  KEY_IN_REQUEST("key_in_request", 400),
  /** The route requires a key and the request has none. */
  KEY_MISSING("key_missing", 401),
  /** The key was never issued or was revoked. */
  KEY_UNKNOWN("key_unknown", 401),
  /** The client account may not call this route or adapter. */
  FORBIDDEN("forbidden", 403),
  /** No route matches the path. */
  ROUTE_UNKNOWN("route_unknown", 404),
  /** The requested adapter or version is not declared. */
  MODEL_UNKNOWN("model_unknown", 404),
  /** The request was not received completely before the receive timeout. */
  REQUEST_TIMEOUT("request_timeout", 408),
  /** The request is not idempotent and the same request was received before. */
  DUPLICATE_REQUEST("duplicate_request", 409),
  /** The body exceeds the maximum size. */
  REQUEST_TOO_LARGE("request_too_large", 413),
  /** The request needs more tokens than the client account's burst. */
  EXCEEDS_BURST("exceeds_burst", 429),
  /** The client account has exhausted its rate. */
  RATE_LIMITED("rate_limited", 429),
  /** The header fields exceed the maximum size. */
  HEADERS_TOO_LARGE("headers_too_large", 431),
  /** The upstream aborted its answer or a transport error occurred. */
  UPSTREAM_FAILED("upstream_failed", 502),
  /** This host has no capacity for another request. */
  OVERLOADED("overloaded", 503),
  /** No upstream can currently accept the request. */
  UPSTREAM_UNAVAILABLE("upstream_unavailable", 503),
  /** It cannot currently be determined whether the request was received before. */
  REPEAT_CHECK_UNAVAILABLE("repeat_check_unavailable", 503),
  /** The deadline of the request passed. */
  DEADLINE_EXCEEDED("deadline_exceeded", 504);

  private final String text;
  private final int status;

  RefusalCode(String text, int status) {
    this.text = text;
    this.status = status;
  }

  /** Returns the code that is sent to callers. */
  public String text() {
    return text;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }
}
