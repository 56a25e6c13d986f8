package org.parsleyhead.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.quarantine.Standing;
import org.parsleyhead.core.quarantine.Trait;

@DisplayName("The operators' pages of the quarantine")
class QuarantinePagesTests {

  private static final Trait PART = new Trait(Trait.Kind.PROMPT_PART, 0xab);

  private final List<Trait> lifted = new ArrayList<>();
  private final QuarantinePages pages =
      new QuarantinePages(() -> Map.of(PART, Standing.CONDEMNED), lifted::add);

  @Test
  @DisplayName("list the restricted traits with their standing")
  void list() {
    assertEquals("part-ab CONDEMNED\n", pages.page("GET", "/quarantine").orElseThrow().text());
  }

  @Test
  @DisplayName("lift the restriction of a trait by its name")
  void lift() {
    pages.page("POST", "/quarantine/lift/part-ab").orElseThrow();
    assertEquals(List.of(PART), lifted);
  }

  @Test
  @DisplayName("answer an unknown name with an error, and lift nothing")
  void refuseUnknownName() {
    assertFalse(pages.page("POST", "/quarantine/lift/part-xyz").orElseThrow().success());
    assertEquals(List.of(), lifted);
  }

  @Test
  @DisplayName("leave other paths to other pages")
  void leaveOthers() {
    assertEquals(Optional.empty(), pages.page("GET", "/metrics"));
  }
}
