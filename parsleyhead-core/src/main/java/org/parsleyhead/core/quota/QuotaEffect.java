package org.parsleyhead.core.quota;

import java.time.Duration;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.RequestIdentifier;

/** What the quota transition wants done. Implementations are immutable and thread-safe. */
public sealed interface QuotaEffect {

  /**
   * Send a message to another host; it may be lost.
   *
   * @param receiver the other host
   * @param message the message
   */
  record Send(HostName receiver, PeerMessage message) implements QuotaEffect {}

  /**
   * A request may run; it has to be settled or released.
   *
   * @param request the request
   */
  record Admitted(RequestIdentifier request) implements QuotaEffect {}

  /**
   * A request may not run.
   *
   * @param request the request
   * @param reason the reason
   * @param retryAfter after what time a new try makes sense; zero if never
   */
  record Refused(RequestIdentifier request, RefusalReason reason, Duration retryAfter)
      implements QuotaEffect {}

  /**
   * A standing is in force: all shares are used as it demands, and the members were told.
   *
   * @param sequence the number of the standing
   */
  record StandingApplied(long sequence) implements QuotaEffect {}
}
