package org.parsleyhead.core.fleet;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.quarantine.TraitReport;

/**
 * The evidence of a host about requests that may end their servers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param reports the evidence about each trait
 */
public record QuarantineReport(List<TraitReport> reports) implements PeerMessage {

  /** Copies the list. */
  public QuarantineReport {
    reports = List.copyOf(reports);
  }
}
