package org.parsleyhead.integration.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.platform.standin.CallerStandin.End;
import org.parsleyhead.platform.standin.CallerStandin.Kind;
import org.parsleyhead.platform.standin.CallerStandin.Outcome;
import org.parsleyhead.platform.standin.RunLedger;

/** Guards against cuts that the check excuses by the restart after the stop that caused them. */
@DisplayName("A request that the exit of a stopped process cut")
class CutAtExitTests {

  private static final Endpoint HOST = Endpoint.parse("127.0.0.1:1000");
  private static final long EXIT = TimeUnit.SECONDS.toNanos(18);

  @Test
  @DisplayName("is found although its caller saw the close after the exit was seen")
  void isFound() {
    long sentAt = TimeUnit.SECONDS.toNanos(16);
    Outcome outcome =
        new Outcome(
            "r1",
            Kind.BOOK,
            "key-0",
            HOST,
            0,
            false,
            "",
            End.CLOSED,
            Duration.ofSeconds(6),
            false,
            sentAt,
            EXIT + TimeUnit.MILLISECONDS.toNanos(1));
    HostHistory history =
        new HostHistory(
            HOST,
            List.of(new HostHistory.Stop(TimeUnit.SECONDS.toNanos(10), EXIT)),
            List.of(new HostHistory.Period(EXIT, EXIT + TimeUnit.SECONDS.toNanos(3))),
            Set.of());
    RunLedger.Run run = new RunLedger.Run("r1", "i-0", Optional.of("account-0"), false, sentAt + 1);
    List<String> violations =
        new CutAnswerChecks(List.of(run), List.of(history), new ServerEnds())
            .findViolations(List.of(outcome));
    assertEquals(1, violations.size(), violations::toString);
  }
}
