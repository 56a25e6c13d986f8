package org.parsleyhead.integration.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The output of the load tool")
class LoadToolTests {

  @Test
  @DisplayName("is read line by line, without what is no report")
  void isRead() {
    String output =
        """
        INFO event=started
        report=total seconds=5.000 requests=10
        report=wrong problem="lost token 3 of 4" model=base
        """;
    assertEquals(
        List.of(
            new Figures("total", Map.of("seconds", "5.000", "requests", "10")),
            new Figures("wrong", Map.of("problem", "lost token 3 of 4", "model", "base"))),
        LoadTool.parse(output));
  }
}
