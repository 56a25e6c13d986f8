package org.parsleyhead.runtime.administration;

import org.parsleyhead.core.api.Preconditions;

/**
 * An answer of the operators' port.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status the HTTP status
 * @param contentType the media type
 * @param body the text
 */
public record AdministrationResponse(int status, String contentType, String body) {

  /** The status of a good answer. */
  public static final int OK = 200;

  /** The status of an unknown page. */
  public static final int NOT_FOUND = 404;

  /** The status of another method than GET. */
  public static final int METHOD_NOT_ALLOWED = 405;

  /** The status of a page that failed. */
  public static final int INTERNAL_ERROR = 500;

  /** The status of a process that is not ready. */
  public static final int UNAVAILABLE = 503;

  private static final String JSON = "application/json";
  private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";
  private static final String TEXT = "text/plain; charset=utf-8";

  /** Checks the parts. */
  public AdministrationResponse {
    Preconditions.requirePositive(status, "status");
    Preconditions.requireNonNull(contentType, "contentType");
    Preconditions.requireNonNull(body, "body");
  }

  /** Returns a good answer in JSON. */
  public static AdministrationResponse json(String body) {
    return new AdministrationResponse(OK, JSON, body);
  }

  /** Returns a good answer in the Prometheus text form. */
  public static AdministrationResponse prometheus(String body) {
    return new AdministrationResponse(OK, PROMETHEUS, body);
  }

  /** Returns an answer of one line. */
  public static AdministrationResponse line(int status, String line) {
    return new AdministrationResponse(status, TEXT, line + "\n");
  }
}
