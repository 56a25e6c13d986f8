package org.parsleyhead.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@DisplayName("The estimate of deadlines")
class DeadlineEstimateTests {

  @ParameterizedTest
  @CsvSource({
    "4900, 240, 0, false",
    "4950, 240, 0, true",
    "3000, 240, 1900, false",
    "3000, 240, 1950, true",
    "0, 0, 5000, false"
  })
  @DisplayName("gives up only what is too late even beyond its error, not what may be late")
  void respectsErrorBound(long waited, long work, long certainWait, boolean hopeless) {
    RequestRank rank =
        new RequestRank(
            0,
            Duration.ofMillis(waited),
            Duration.ofSeconds(1),
            Duration.ofSeconds(5),
            Duration.ofMillis(work));
    assertEquals(hopeless, DeadlineEstimate.hopeless(rank, Duration.ofMillis(certainWait)));
  }
}
