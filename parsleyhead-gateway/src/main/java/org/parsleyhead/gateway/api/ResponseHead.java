package org.parsleyhead.gateway.api;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.dispatch.ReportedLoad;

/**
 * The head of an instance's response.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requestIdentifier the identifier of the request that it answers, if it names one
 * @param notRun whether the instance states that it has not run the request
 * @param misdirected whether the instance is not the intended one, or lacks the adapter
 * @param stamped whether it carries the stamp of an instance
 * @param leaving whether the instance states that it is about to leave
 * @param refusesFor how long the instance wants no further requests; empty if it does not say
 * @param load the load that the instance reports; empty if it reports none
 * @param coldFor how long the instance stays cold; empty if it is not cold or does not say
 */
public record ResponseHead(
    Optional<String> requestIdentifier,
    boolean notRun,
    boolean misdirected,
    boolean stamped,
    boolean leaving,
    Optional<Duration> refusesFor,
    Optional<ReportedLoad> load,
    Optional<Duration> coldFor) {

  /** Creates the head of a response that states neither a load nor whether the instance is cold. */
  public ResponseHead(
      Optional<String> requestIdentifier,
      boolean notRun,
      boolean misdirected,
      boolean stamped,
      boolean leaving,
      Optional<Duration> refusesFor) {
    this(
        requestIdentifier,
        notRun,
        misdirected,
        stamped,
        leaving,
        refusesFor,
        Optional.empty(),
        Optional.empty());
  }

  /** Returns whether the instance says something about requests to come. */
  public boolean hasNotice() {
    return !misdirected && (leaving || refusesFor.isPresent() || coldFor.isPresent());
  }
}
