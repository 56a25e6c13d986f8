package org.parsleyhead.load.result;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.load.settings.LoadSettings.Account;

@DisplayName("The bound of a client account")
class AccountBoundTests {

  private static final Account ACCOUNT = new Account("a", "key", 100, 1000);

  @Test
  @DisplayName("is above one if more was given than rate and burst allow")
  void findsExcess() {
    AccountBound bound =
        AccountBound.of(ACCOUNT, List.of(given(0, 800), given(1, 500), given(11, 500)));
    assertEquals(1.2, bound.peakOverBurst(), 0.001);
  }

  @Test
  @DisplayName("counts a refusal as wrongful only if the request would have fitted")
  void findsWrongfulRefusals() {
    AccountBound bound =
        AccountBound.of(
            ACCOUNT, List.of(given(0, 900), refused(0, 200), refused(2, 200), given(2, 100)));
    assertEquals(2, bound.refusedForRate());
    assertEquals(1, bound.wrongfullyRefused());
  }

  private static Outcome given(long second, int tokens) {
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
        status == 200 ? Outcome.End.ANSWERED : Outcome.End.REFUSED,
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
