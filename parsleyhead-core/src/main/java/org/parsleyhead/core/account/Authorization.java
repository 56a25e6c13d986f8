package org.parsleyhead.core.account;

import java.util.Optional;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.RouteItem;

/**
 * Decides whether a call is authorized, and for which client account.
 *
 * <p>Stateless and thread-safe.
 */
public final class Authorization {

  private Authorization() {}

  /** Authorizes a call to a route with the key that it presents, if any. */
  public static Result decide(Catalogue catalogue, RouteItem route, Optional<CallerKey> key) {
    Optional<ClientAccountName> account =
        key.flatMap(presented -> catalogue.keyByDigest(presented.digest()))
            .map(item -> item.clientAccount())
            .filter(name -> catalogue.clientAccount(name).isPresent());
    if (route.access() == RouteItem.Access.OPEN) {
      return new Result(Kind.GRANTED, account);
    }
    if (key.isEmpty()) {
      return Result.refused(Kind.KEY_MISSING);
    }
    if (account.isEmpty()) {
      return Result.refused(Kind.KEY_UNKNOWN);
    }
    if (route.access() == RouteItem.Access.RESTRICTED
        && !route.clientAccounts().contains(account.get())) {
      return Result.refused(Kind.FORBIDDEN);
    }
    return new Result(Kind.GRANTED, account);
  }

  /** The kinds of results. */
  public enum Kind {
    /** The call is authorized. */
    GRANTED,
    /** The route requires a key and the call has none. */
    KEY_MISSING,
    /** The key was never issued or was revoked. */
    KEY_UNKNOWN,
    /** The client account is not allowed to call the route. */
    FORBIDDEN
  }

  /**
   * The result of authorizing a call.
   *
   * <p>Immutable and thread-safe.
   *
   * @param kind the kind of the result
   * @param clientAccount the client account of the key; empty for a refused call and for a call to
   *     an open route without a valid key
   */
  public record Result(Kind kind, Optional<ClientAccountName> clientAccount) {

    private static Result refused(Kind kind) {
      return new Result(kind, Optional.empty());
    }
  }
}
