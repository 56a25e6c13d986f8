package org.parsleyhead.operator.fleet;

import java.util.Optional;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.ParsleyheadException;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.runtime.administration.TicketStatus;
import org.parsleyhead.runtime.administration.TicketStatusJson;

/**
 * What one host said of its tickets.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpoint the operators' port of the host
 * @param status the status; empty if there was no good answer
 * @param error what went wrong; empty if there was a good answer
 */
public record HostAnswer(Endpoint endpoint, Optional<TicketStatus> status, String error) {

  /** Checks the parts. */
  public HostAnswer {
    Preconditions.requireNonNull(endpoint, "endpoint");
    Preconditions.requireNonNull(status, "status");
    Preconditions.requireNonNull(error, "error");
  }

  /** Asks a host. */
  public static HostAnswer ask(HostQuery query, Endpoint endpoint) {
    try {
      TicketStatus status = TicketStatusJson.decode(query.get(endpoint, "/tickets"));
      return new HostAnswer(endpoint, Optional.of(status), "");
    } catch (ParsleyheadException exception) {
      return new HostAnswer(endpoint, Optional.empty(), String.valueOf(exception.getMessage()));
    }
  }
}
