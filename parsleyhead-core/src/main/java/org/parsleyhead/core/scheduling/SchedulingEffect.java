package org.parsleyhead.core.scheduling;

import java.time.Duration;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.UpstreamName;

/** The effects of {@link SchedulingTransition}. Implementations are immutable and thread-safe. */
public sealed interface SchedulingEffect {

  /**
   * Sends a request to an engine. If it cannot be written before the given time, it is reported as
   * {@link RequestOutcome#ABANDONED} and submitted again.
   */
  record Dispatch(ModelRequest request, UpstreamName upstream, MonotonicTime writeBefore)
      implements SchedulingEffect {}

  /** Refuses a request of which no part was sent. */
  record Refuse(RequestIdentifier identifier, RefusalReason reason, Duration retryAfter)
      implements SchedulingEffect {}

  /** Sends a message to the ownership duty of a host, which may be this host. */
  record Send(HostName host, PeerMessage message) implements SchedulingEffect {}
}
