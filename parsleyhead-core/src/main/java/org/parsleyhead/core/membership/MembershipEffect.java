package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/** The effects of {@link MembershipTransition}. Implementations are immutable and thread-safe. */
public sealed interface MembershipEffect {

  /**
   * Sends a message to another host. Delivery is not guaranteed.
   *
   * @param host the receiver
   * @param message the message
   */
  record Send(HostName host, PeerMessage message) implements MembershipEffect {

    /** Validates the components. */
    public Send {
      Preconditions.requireNonNull(host, "host");
      Preconditions.requireNonNull(message, "message");
    }
  }

  /**
   * Publishes the changed rights of this host. Once every user of the rights has applied the new
   * snapshot, {@link MembershipEvent.RightsApplied} must be reported.
   *
   * @param sequence the sequence number, which increases by one with each snapshot; a snapshot is
   *     published again with the same number while a stop waits for it to be applied
   * @param rightsSnapshot the new snapshot
   */
  record RightsChanged(long sequence, RightsSnapshot rightsSnapshot) implements MembershipEffect {

    /** Validates the components. */
    public RightsChanged {
      Preconditions.requirePositive(sequence, "sequence");
      Preconditions.requireNonNull(rightsSnapshot, "rightsSnapshot");
    }
  }

  /**
   * Reports that this host considers another host alive, suspected or failed. Liveness grants no
   * rights.
   *
   * @param host the host
   * @param liveness the new liveness
   */
  record LivenessChanged(HostName host, Liveness liveness) implements MembershipEffect {

    /** Validates the components. */
    public LivenessChanged {
      Preconditions.requireNonNull(host, "host");
      Preconditions.requireNonNull(liveness, "liveness");
    }
  }

  /**
   * Reports, after a request to stop, that this process no longer uses exclusive rights and that
   * its departure was announced to the other members.
   */
  record RightsReleased() implements MembershipEffect {}
}
