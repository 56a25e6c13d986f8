package org.parsleyhead.core.request;

/** The stable codes of refusals, with the HTTP status that front ends use. */
public enum RefusalCode {
  /** The request is malformed. */
  INVALID_REQUEST("invalid_request", 400),
  /** The body holds the caller's key, which no upstream may see. */
  KEY_IN_REQUEST("key_in_request", 400),
  /** The route needs a key and none came. */
  KEY_MISSING("key_missing", 401),
  /** The key was never issued or is withdrawn. */
  KEY_UNKNOWN("key_unknown", 401),
  /** The client account may not call this route or adapter. */
  FORBIDDEN("forbidden", 403),
  /** No route has this path. */
  ROUTE_UNKNOWN("route_unknown", 404),
  /** No such adapter or version is declared. */
  MODEL_UNKNOWN("model_unknown", 404),
  /** The request was not received in time. */
  REQUEST_TIMEOUT("request_timeout", 408),
  /** The same request, not idempotent, was received before. */
  DUPLICATE_REQUEST("duplicate_request", 409),
  /** The body is too long. */
  REQUEST_TOO_LARGE("request_too_large", 413),
  /** The request can never fit the client account's burst. */
  EXCEEDS_BURST("exceeds_burst", 429),
  /** The client account's rate is used up. */
  RATE_LIMITED("rate_limited", 429),
  /** The header fields are too long. */
  HEADERS_TOO_LARGE("headers_too_large", 431),
  /** The upstream broke off or answered with an error of transport. */
  UPSTREAM_FAILED("upstream_failed", 502),
  /** This host has no room for another request. */
  OVERLOADED("overloaded", 503),
  /** No upstream can take the request now. */
  UPSTREAM_UNAVAILABLE("upstream_unavailable", 503),
  /** It cannot be decided now whether the request was received before. */
  REPEAT_CHECK_UNAVAILABLE("repeat_check_unavailable", 503),
  /** The deadline passed. */
  DEADLINE_EXCEEDED("deadline_exceeded", 504);

  private final String text;
  private final int status;

  RefusalCode(String text, int status) {
    this.text = text;
    this.status = status;
  }

  /** Returns the stable code. */
  public String text() {
    return text;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }
}
