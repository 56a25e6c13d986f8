package org.parsleyhead.core.quota;

import java.time.Duration;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.RequestIdentifier;

/** The effects of {@link QuotaTransition}. Implementations are immutable and thread-safe. */
public sealed interface QuotaEffect {

  /**
   * Sends a message to another host; it may be lost.
   *
   * @param receiver the other host
   * @param message the message
   */
  record Send(HostName receiver, PeerMessage message) implements QuotaEffect {}

  /**
   * Admits a request, which must be settled or released later.
   *
   * @param request the request
   */
  record Admitted(RequestIdentifier request) implements QuotaEffect {}

  /**
   * Refuses a request.
   *
   * @param request the request
   * @param reason the reason
   * @param retryAfter the delay after which a retry may succeed; zero if none can
   */
  record Refused(RequestIdentifier request, RefusalReason reason, Duration retryAfter)
      implements QuotaEffect {}

  /**
   * Reports that a rights snapshot has been applied to all shares and that the notices to the
   * members have been issued.
   *
   * @param sequence the number of the rights snapshot
   */
  record RightsApplied(long sequence) implements QuotaEffect {}
}
