package org.parsleyhead.core.quota;

import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.membership.RightsSnapshot;

/** The events of {@link QuotaTransition}. Implementations are immutable and thread-safe. */
public sealed interface QuotaEvent {

  /** Time has passed; expected several times per second. */
  record Tick() implements QuotaEvent {}

  /**
   * The host list or the attestations have changed.
   *
   * @param sequence the number of the rights snapshot
   * @param rightsSnapshot the new rights snapshot
   */
  record RightsChanged(long sequence, RightsSnapshot rightsSnapshot) implements QuotaEvent {

    /** Validates the components. */
    public RightsChanged {
      Preconditions.requireNonNull(rightsSnapshot, "rightsSnapshot");
    }
  }

  /**
   * A ticket has declared the limits of a client account.
   *
   * @param account the client account
   * @param limits the limits; ignored unless their ticket supersedes that of the known limits
   */
  record LimitsDeclared(ClientAccountName account, Limits limits) implements QuotaEvent {

    /** Validates the components. */
    public LimitsDeclared {
      Preconditions.requireNonNull(account, "account");
      Preconditions.requireNonNull(limits, "limits");
    }
  }

  /**
   * A ticket has deleted a client account.
   *
   * @param account the client account
   * @param ticket the number of the ticket
   */
  record AccountDeleted(ClientAccountName account, TicketNumber ticket) implements QuotaEvent {

    /** Validates the components. */
    public AccountDeleted {
      Preconditions.requireNonNull(account, "account");
      Preconditions.requireNonNull(ticket, "ticket");
    }
  }

  /**
   * A request asks for admission.
   *
   * @param request the request
   * @param account the client account that it runs for
   * @param tokens the maximum number of tokens that it can use
   */
  record Reserve(RequestIdentifier request, ClientAccountName account, long tokens)
      implements QuotaEvent {

    /** Validates the components. */
    public Reserve {
      Preconditions.requireNonNull(request, "request");
      Preconditions.requireNonNull(account, "account");
      Preconditions.requireNonNegative(tokens, "tokens");
    }
  }

  /**
   * A request has ended, and the tokens that it used are known.
   *
   * @param request the request
   * @param account the client account
   * @param tokens the tokens that it used
   */
  record Settle(RequestIdentifier request, ClientAccountName account, long tokens)
      implements QuotaEvent {

    /** Validates the components. */
    public Settle {
      Preconditions.requireNonNull(request, "request");
      Preconditions.requireNonNull(account, "account");
      Preconditions.requireNonNegative(tokens, "tokens");
    }
  }

  /**
   * A request definitely did not run, or its caller no longer waits for admission.
   *
   * @param request the request
   * @param account the client account
   */
  record Release(RequestIdentifier request, ClientAccountName account) implements QuotaEvent {

    /** Validates the components. */
    public Release {
      Preconditions.requireNonNull(request, "request");
      Preconditions.requireNonNull(account, "account");
    }
  }

  /**
   * A message from another host has been received.
   *
   * @param sender the process that sent it
   * @param message the message; types from other packages are ignored
   */
  record MessageReceived(Sender sender, PeerMessage message) implements QuotaEvent {

    /** Validates the components. */
    public MessageReceived {
      Preconditions.requireNonNull(sender, "sender");
      Preconditions.requireNonNull(message, "message");
    }
  }
}
