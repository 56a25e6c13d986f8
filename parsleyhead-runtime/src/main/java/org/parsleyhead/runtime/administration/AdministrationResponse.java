package org.parsleyhead.runtime.administration;

import org.parsleyhead.core.api.Preconditions;

/**
 * A response of the administration port.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status the HTTP status
 * @param contentType the media type
 * @param body the body
 */
public record AdministrationResponse(int status, String contentType, String body) {

  /** The status of a successful response. */
  public static final int OK = 200;

  /** The status of an unknown page. */
  public static final int NOT_FOUND = 404;

  /** The status of a request with a method other than GET. */
  public static final int METHOD_NOT_ALLOWED = 405;

  /** The status of a page whose handler failed. */
  public static final int INTERNAL_ERROR = 500;

  /** The status of a process that is not ready. */
  public static final int UNAVAILABLE = 503;

  private static final String JSON = "application/json";
  private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";
  private static final String TEXT = "text/plain; charset=utf-8";

  /** Requires a positive status, a media type and a body. */
  public AdministrationResponse {
    Preconditions.requirePositive(status, "status");
    Preconditions.requireNonNull(contentType, "contentType");
    Preconditions.requireNonNull(body, "body");
  }

  /** Returns a successful response in JSON. */
  public static AdministrationResponse json(String body) {
    return new AdministrationResponse(OK, JSON, body);
  }

  /** Returns a successful response in the Prometheus text format. */
  public static AdministrationResponse prometheus(String body) {
    return new AdministrationResponse(OK, PROMETHEUS, body);
  }

  /** Returns a plain-text response of one line. */
  public static AdministrationResponse line(int status, String line) {
    return new AdministrationResponse(status, TEXT, line + "\n");
  }
}
