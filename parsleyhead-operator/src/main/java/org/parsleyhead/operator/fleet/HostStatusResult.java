package org.parsleyhead.operator.fleet;

import java.util.Optional;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.ParsleyheadException;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.runtime.administration.TicketStatus;
import org.parsleyhead.runtime.administration.TicketStatusJson;

/**
 * The ticket status of one host, or the error of the query.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpoint the administration endpoint of the host
 * @param status the status; empty if the query failed
 * @param error the error message; empty if the query succeeded
 */
public record HostStatusResult(Endpoint endpoint, Optional<TicketStatus> status, String error) {

  /** Requires all components. */
  public HostStatusResult {
    Preconditions.requireNonNull(endpoint, "endpoint");
    Preconditions.requireNonNull(status, "status");
    Preconditions.requireNonNull(error, "error");
  }

  /** Queries the ticket status of a host; a failure becomes part of the result. */
  public static HostStatusResult fetch(HostQuery query, Endpoint endpoint) {
    try {
      TicketStatus status = TicketStatusJson.decode(query.get(endpoint, "/tickets"));
      return new HostStatusResult(endpoint, Optional.of(status), "");
    } catch (ParsleyheadException exception) {
      return new HostStatusResult(
          endpoint, Optional.empty(), String.valueOf(exception.getMessage()));
    }
  }
}
