package org.parsleyhead.integration.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The output of the load tool")
class LoadToolTests {

  @Test
  @DisplayName("is parsed line by line, skipping lines that are not part of the report")
  void isRead() {
    String output =
        """
        INFO event=started
        report=total seconds=5.000 requests=10
        report=wrong problem="lost token 3 of 4" model=base
        """;
    assertEquals(
        List.of(
            new ReportRow("total", Map.of("seconds", "5.000", "requests", "10")),
            new ReportRow("wrong", Map.of("problem", "lost token 3 of 4", "model", "base"))),
        LoadTool.parseReport(output));
  }
}
