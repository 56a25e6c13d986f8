package org.parsleyhead.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.ClientAccountName;

@DisplayName("The shares of client accounts in loads")
class LoadSharesTests {

  private static final ClientAccountName GREEDY = new ClientAccountName("greedy");
  private static final ClientAccountName MODEST = new ClientAccountName("modest");

  private LoadShares shares = LoadShares.empty();

  private LoadShares.Claim addClaim(ClientAccountName account) {
    LoadShares.Claim claim = shares.claimFor(account);
    shares = shares.add(claim);
    return claim;
  }

  @Test
  @DisplayName("put only an account with many loads ahead of virtual time")
  void putGreedyAccountAhead() {
    addClaim(GREEDY);
    addClaim(GREEDY);
    assertEquals(2, shares.loadsAhead(addClaim(GREEDY)));
    assertEquals(0, shares.loadsAhead(addClaim(MODEST)));
  }

  @Test
  @DisplayName("drop accounts whose loads were completed or cancelled")
  void dropSettledAccounts() {
    LoadShares.Claim completed = addClaim(GREEDY);
    LoadShares.Claim cancelled = addClaim(GREEDY);
    shares = shares.cancel(cancelled).complete(completed);
    assertEquals(0, shares.loadsAhead(addClaim(GREEDY)));
    assertEquals(1, shares.pending().size());
  }
}
