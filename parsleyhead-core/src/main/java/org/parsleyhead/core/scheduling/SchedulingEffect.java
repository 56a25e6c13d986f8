package org.parsleyhead.core.scheduling;

import java.time.Duration;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.UpstreamName;

/** What the scheduling duty wants done. Implementations are immutable and thread-safe. */
public sealed interface SchedulingEffect {

  /**
   * Sends a request to an engine. It has to be written before an instant; after that it is finished
   * as abandoned and submitted again.
   */
  record Dispatch(ModelRequest request, UpstreamName upstream, MonotonicTime writeBefore)
      implements SchedulingEffect {}

  /** Refuses a request of which nothing was sent. */
  record Refuse(RequestIdentifier identifier, RefusalReason reason, Duration retryAfter)
      implements SchedulingEffect {}

  /** Sends a message to the ownership duty of a host; it may be this host itself. */
  record Send(HostName host, PeerMessage message) implements SchedulingEffect {}
}
