package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;

/**
 * A response of this host that refuses a request.
 *
 * <p>Immutable and thread-safe. The statuses 408, 421, 429 and 503 guarantee that the request has
 * not run and will not run.
 *
 * @param code the reason of the refusal
 * @param retryAfter when the caller should retry; empty if a retry is of no use
 */
public record DispatchRefusal(Code code, Optional<Duration> retryAfter) {

  /** Validates the components. */
  public DispatchRefusal {
    Preconditions.requireNonNull(code, "code");
    Preconditions.requireNonNull(retryAfter, "retryAfter");
  }

  /** Returns whether the caller should use another connection, and so reach another host. */
  public boolean closesConnection() {
    return code == Code.STOPPING;
  }

  /** Returns a refusal without a Retry-After. */
  static DispatchRefusal of(Code code) {
    return new DispatchRefusal(code, Optional.empty());
  }

  /** Returns a refusal with the time after which the caller should retry. */
  static DispatchRefusal withRetryAfter(Code code, Duration delay) {
    return new DispatchRefusal(code, Optional.of(delay));
  }

  /** The refusal codes, which are stable, with their HTTP statuses. Immutable and thread-safe. */
  public enum Code {
    /** No catalogue is known yet. */
    NOT_READY(503),
    /** No route matches. */
    NO_ROUTE(404),
    /** The key is missing or unknown. */
    UNKNOWN_KEY(401),
    /** The client account exceeds its rate. */
    OVER_RATE(429),
    /** No instance can accept the request, and it has not run. */
    NO_INSTANCE(503),
    /** The instances have no free capacity, and the request has not run. */
    NO_ROOM(503),
    /** The adapter could not be loaded in time, and the request has not run. */
    ADAPTER_UNAVAILABLE(503),
    /** The request has a trait on which servers have ended, and it has not run. */
    QUARANTINED(503),
    /** The deadline passed before the request was sent. */
    EXPIRED_UNSENT(503),
    /** The deadline passed; the request may have run. */
    TIMED_OUT(504),
    /** The instance failed; the request may have run. */
    UPSTREAM_FAILED(502),
    /** This host failed unexpectedly; the request may have run. */
    INTERNAL_ERROR(500),
    /** This host is stopping, and the request has not run. */
    STOPPING(503),
    /** This host is overloaded, and the request has not run. */
    OVERLOADED(503);

    private final int status;

    Code(int status) {
      this.status = status;
    }

    /** Returns the HTTP status. */
    public int status() {
      return status;
    }
  }
}
