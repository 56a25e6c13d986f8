package org.parsleyhead.load.result;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.load.settings.LoadSettings.Account;

@DisplayName("The rate compliance of a client account")
class AccountRateComplianceTests {

  private static final Account ACCOUNT = new Account("a", "key", 100, 1000);

  @Test
  @DisplayName(
      "has a peak over burst above one if more tokens were served than rate and burst allow")
  void findsExcess() {
    AccountRateCompliance compliance =
        AccountRateCompliance.of(ACCOUNT, List.of(served(0, 800), served(1, 500), served(11, 500)));
    assertEquals(1.2, compliance.peakOverBurst(), 0.001);
  }

  @Test
  @DisplayName("counts a refusal as wrongful only if the request would have fitted into the bucket")
  void findsWrongfulRefusals() {
    AccountRateCompliance compliance =
        AccountRateCompliance.of(
            ACCOUNT, List.of(served(0, 900), refused(0, 200), refused(2, 200), served(2, 100)));
    assertEquals(2, compliance.refusedForRate());
    assertEquals(1, compliance.wrongfullyRefused());
  }

  private static Outcome served(long second, int tokens) {
    return outcome(second, tokens, 0, 200);
  }

  private static Outcome refused(long second, int maximumTokens) {
    return outcome(second, 0, maximumTokens, 429);
  }

  private static Outcome outcome(long second, int tokens, int maximumTokens, int status) {
    return new Outcome(
        "run-1",
        1,
        new Outcome.Group("a", "interactive", "chat"),
        status == 200 ? Outcome.RequestResult.ANSWERED : Outcome.RequestResult.REFUSED,
        "m",
        "digest",
        "127.0.0.1:1",
        false,
        false,
        0,
        second * 1_000_000_000L,
        0,
        -1,
        1,
        0,
        tokens,
        maximumTokens,
        status,
        "",
        "",
        Optional.empty());
  }
}
