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

  private LoadShares.Claim make(ClientAccountName account) {
    LoadShares.Claim claim = shares.claimFor(account);
    shares = shares.make(claim);
    return claim;
  }

  @Test
  @DisplayName("put an account that wants many loads ahead, and another one not")
  void putGreedyAccountAhead() {
    make(GREEDY);
    make(GREEDY);
    assertEquals(2, shares.ahead(make(GREEDY)));
    assertEquals(0, shares.ahead(make(MODEST)));
  }

  @Test
  @DisplayName("forget accounts whose loads were served or given up")
  void forgetSettledAccounts() {
    LoadShares.Claim served = make(GREEDY);
    LoadShares.Claim givenUp = make(GREEDY);
    shares = shares.abandon(givenUp).serve(served);
    assertEquals(0, shares.ahead(make(GREEDY)));
    assertEquals(1, shares.wanted().size());
  }
}
