package org.parsleyhead.core.serving;

import java.util.OptionalInt;
import java.util.Set;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.placement.HomeRegions;

/**
 * A client account with its keys, and with its rate and burst, which apply to all hosts together.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name that is sent to upstreams
 * @param keys the keys that identify the account
 * @param priority the priority of its requests, which overrides that of the route; empty if it has
 *     none
 * @param countsTokens whether a request counts as its tokens; otherwise it counts as one unit
 * @param defaultTokens the units of a request whose number of tokens is unknown
 * @param ratePerSecond the rate, in units per second; 0 for no limit
 * @param burst the units that may be admitted at once
 * @param homeRegions the regions in which its requests may be served
 */
public record AccountLimits(
    ClientAccountName name,
    Set<String> keys,
    OptionalInt priority,
    boolean countsTokens,
    long defaultTokens,
    double ratePerSecond,
    double burst,
    HomeRegions homeRegions) {

  /** Validates the components and copies the keys. */
  public AccountLimits {
    Preconditions.requireNonNull(name, "name");
    Preconditions.requireNonNull(priority, "priority");
    keys = Set.copyOf(keys);
    Preconditions.requireNonNull(homeRegions, "homeRegions");
  }

  /** Creates an account whose requests may be served anywhere. */
  public AccountLimits(
      ClientAccountName name,
      Set<String> keys,
      OptionalInt priority,
      boolean countsTokens,
      long defaultTokens,
      double ratePerSecond,
      double burst) {
    this(
        name,
        keys,
        priority,
        countsTokens,
        defaultTokens,
        ratePerSecond,
        burst,
        HomeRegions.ANYWHERE);
  }

  /** Returns whether the account is rate-limited. */
  public boolean limited() {
    return ratePerSecond > 0;
  }
}
