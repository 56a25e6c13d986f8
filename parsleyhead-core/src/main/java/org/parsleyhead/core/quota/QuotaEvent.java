package org.parsleyhead.core.quota;

import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.membership.Standing;

/** What the quota transition reacts to. Implementations are immutable and thread-safe. */
public sealed interface QuotaEvent {

  /** Time has passed; expected several times a second. */
  record Tick() implements QuotaEvent {}

  /**
   * The host list or the attestations have changed.
   *
   * @param sequence the number of the standing
   * @param standing the new standing
   */
  record StandingChanged(long sequence, Standing standing) implements QuotaEvent {

    /** Checks the standing. */
    public StandingChanged {
      Preconditions.requireNonNull(standing, "standing");
    }
  }

  /**
   * A ticket declared the limits of a client account.
   *
   * @param account the client account
   * @param limits its limits; older ones than the known are ignored
   */
  record LimitsDeclared(ClientAccountName account, Limits limits) implements QuotaEvent {

    /** Checks the parts. */
    public LimitsDeclared {
      Preconditions.requireNonNull(account, "account");
      Preconditions.requireNonNull(limits, "limits");
    }
  }

  /**
   * A ticket deleted a client account.
   *
   * @param account the client account
   * @param ticket the number of the ticket
   */
  record AccountDeleted(ClientAccountName account, TicketNumber ticket) implements QuotaEvent {

    /** Checks the parts. */
    public AccountDeleted {
      Preconditions.requireNonNull(account, "account");
      Preconditions.requireNonNull(ticket, "ticket");
    }
  }

  /**
   * A request is to be admitted.
   *
   * @param request the request
   * @param account the client account that it runs for
   * @param tokens the most tokens that it can use
   */
  record Reserve(RequestIdentifier request, ClientAccountName account, long tokens)
      implements QuotaEvent {

    /** Checks the parts. */
    public Reserve {
      Preconditions.requireNonNull(request, "request");
      Preconditions.requireNonNull(account, "account");
      Preconditions.requireNonNegative(tokens, "tokens");
    }
  }

  /**
   * A request ended and its use of tokens is known.
   *
   * @param request the request
   * @param account the client account
   * @param tokens the tokens that it used
   */
  record Settle(RequestIdentifier request, ClientAccountName account, long tokens)
      implements QuotaEvent {

    /** Checks the parts. */
    public Settle {
      Preconditions.requireNonNull(request, "request");
      Preconditions.requireNonNull(account, "account");
      Preconditions.requireNonNegative(tokens, "tokens");
    }
  }

  /**
   * A request certainly did not run, or its caller no longer waits for its admission.
   *
   * @param request the request
   * @param account the client account
   */
  record Release(RequestIdentifier request, ClientAccountName account) implements QuotaEvent {

    /** Checks the parts. */
    public Release {
      Preconditions.requireNonNull(request, "request");
      Preconditions.requireNonNull(account, "account");
    }
  }

  /**
   * A message of another host came in.
   *
   * @param sender who sent it
   * @param message the message; other types than those of this package are ignored
   */
  record MessageReceived(Sender sender, PeerMessage message) implements QuotaEvent {

    /** Checks the parts. */
    public MessageReceived {
      Preconditions.requireNonNull(sender, "sender");
      Preconditions.requireNonNull(message, "message");
    }
  }
}
