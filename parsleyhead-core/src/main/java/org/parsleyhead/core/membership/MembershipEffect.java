package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/** What the membership part asks for. Implementations are immutable and thread-safe. */
public sealed interface MembershipEffect {

  /**
   * Sends a message to another host; it may be lost.
   *
   * @param host the receiver
   * @param message the message
   */
  record Send(HostName host, PeerMessage message) implements MembershipEffect {

    /** Checks the parts. */
    public Send {
      Preconditions.requireNonNull(host, "host");
      Preconditions.requireNonNull(message, "message");
    }
  }

  /**
   * The rights of this host have changed. As soon as every user of these rights acts on the new
   * standing, the event {@link MembershipEvent.StandingApplied} is due.
   *
   * @param sequence grows by one with each standing; a standing is told again while a stop waits
   * @param standing the new standing
   */
  record StandingChanged(long sequence, Standing standing) implements MembershipEffect {

    /** Checks the parts. */
    public StandingChanged {
      Preconditions.requirePositive(sequence, "sequence");
      Preconditions.requireNonNull(standing, "standing");
    }
  }

  /**
   * The opinion on another host has changed. An opinion grants no rights.
   *
   * @param host the host
   * @param liveness the new opinion
   */
  record LivenessChanged(HostName host, Liveness liveness) implements MembershipEffect {

    /** Checks the parts. */
    public LivenessChanged {
      Preconditions.requireNonNull(host, "host");
      Preconditions.requireNonNull(liveness, "liveness");
    }
  }

  /**
   * After a request to stop: nobody in this process uses exclusive rights any longer, and the other
   * members have been told.
   */
  record RightsReleased() implements MembershipEffect {}
}
