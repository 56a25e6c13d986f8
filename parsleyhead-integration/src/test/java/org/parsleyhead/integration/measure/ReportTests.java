package org.parsleyhead.integration.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A report")
class ReportTests {

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final Report report =
      new Report("sample", "measure sample", new PrintStream(output, true, StandardCharsets.UTF_8));

  @Test
  @DisplayName("prints each row as pairs of names and values")
  void printsPairs() {
    report.add(ReportRow.of("sizes").with("hosts", 6).with("seconds", 0.25));
    assertEquals(
        "table=sizes hosts=6 seconds=0.250", output.toString(StandardCharsets.UTF_8).strip());
  }

  @Test
  @DisplayName("writes a table for each table name, with the columns of all its rows")
  void hasTables() {
    report.add(ReportRow.of("sizes").with("hosts", 6));
    report.add(ReportRow.of("other_sizes").with("hosts", 7));
    report.add(ReportRow.of("sizes").with("hosts", 12).with("lost", 1));
    assertEquals(
        """
        # Measurement: sample

        Command: `measure sample`

        ## sizes

        | hosts | lost |
        | --- | --- |
        | 6 |  |
        | 12 | 1 |

        ## other sizes

        | hosts |
        | --- |
        | 7 |
        """,
        report.markdown());
  }
}
