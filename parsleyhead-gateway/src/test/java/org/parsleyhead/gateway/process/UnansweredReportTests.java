package org.parsleyhead.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.dispatch.ActiveRequestSummary;
import org.parsleyhead.runtime.log.EventLine;

@DisplayName("The report of unanswered requests")
class UnansweredReportTests {

  private static final MonotonicTime SIGNAL = MonotonicTime.ORIGIN.plus(Duration.ofSeconds(50));
  private static final MonotonicTime END = SIGNAL.plus(Duration.ofSeconds(7));
  private static final ActiveRequestSummary REQUEST =
      new ActiveRequestSummary(
          "r1",
          Optional.of("e2"),
          2,
          SIGNAL.minus(Duration.ofMillis(300)),
          Optional.of(END.plus(Duration.ofMillis(1_200))));

  private static List<String> lines(List<ActiveRequestSummary> requests) {
    return UnansweredReport.of(requests, SIGNAL, END).stream().map(EventLine::of).toList();
  }

  @Test
  @DisplayName("names each request, where it was and how long")
  void namesRequest() {
    assertEquals(
        List.of(
            "request=r1 instance=e2 attempts=2 after_signal_ms=-300 active_ms=7300"
                + " time_left_ms=1200"),
        lines(List.of(REQUEST)));
  }

  @Test
  @DisplayName("counts those that it leaves out")
  void countsLeftOut() {
    List<String> lines = lines(Collections.nCopies(UnansweredReport.MAXIMUM_REQUESTS + 3, REQUEST));
    assertEquals(UnansweredReport.MAXIMUM_REQUESTS + 1, lines.size());
    assertEquals("left_out=3", lines.get(lines.size() - 1));
  }
}
