package org.parsleyhead.core.account;

import java.util.Optional;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.RouteItem;

/**
 * Decides for which client account a call runs, if it may run at all.
 *
 * <p>Stateless and thread-safe.
 */
public final class Authorization {

  private Authorization() {}

  /** Decides a call to a route with the key that came with it, if one came. */
  public static Verdict decide(Catalogue catalogue, RouteItem route, Optional<CallerKey> key) {
    Optional<ClientAccountName> account =
        key.flatMap(presented -> catalogue.keyByDigest(presented.digest()))
            .map(item -> item.clientAccount())
            .filter(name -> catalogue.clientAccount(name).isPresent());
    if (route.access() == RouteItem.Access.OPEN) {
      return new Verdict(Kind.GRANTED, account);
    }
    if (key.isEmpty()) {
      return Verdict.refused(Kind.KEY_MISSING);
    }
    if (account.isEmpty()) {
      return Verdict.refused(Kind.KEY_UNKNOWN);
    }
    if (route.access() == RouteItem.Access.RESTRICTED
        && !route.clientAccounts().contains(account.get())) {
      return Verdict.refused(Kind.FORBIDDEN);
    }
    return new Verdict(Kind.GRANTED, account);
  }

  /** The kinds of verdicts. */
  public enum Kind {
    /** The call may run. */
    GRANTED,
    /** The route needs a key and none came. */
    KEY_MISSING,
    /** The key was never issued or is withdrawn. */
    KEY_UNKNOWN,
    /** The client account may not call the route. */
    FORBIDDEN
  }

  /**
   * A verdict on one call.
   *
   * @param kind the kind
   * @param clientAccount the client account of the key; empty on open routes without a valid key
   */
  public record Verdict(Kind kind, Optional<ClientAccountName> clientAccount) {

    private static Verdict refused(Kind kind) {
      return new Verdict(kind, Optional.empty());
    }
  }
}
