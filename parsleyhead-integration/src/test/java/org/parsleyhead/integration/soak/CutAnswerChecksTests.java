package org.parsleyhead.integration.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.integration.soak.HostHistory.Period;
import org.parsleyhead.integration.soak.HostHistory.Stop;
import org.parsleyhead.platform.standin.CallerStandin.End;
import org.parsleyhead.platform.standin.CallerStandin.Kind;
import org.parsleyhead.platform.standin.CallerStandin.Outcome;
import org.parsleyhead.platform.standin.RunLedger;

@DisplayName("The check of answers that end too soon")
class CutAnswerChecksTests {

  private static final Endpoint HOST = Endpoint.parse("127.0.0.1:1000");
  private static final String REQUEST = "r1";
  private static final Stop STOP = new Stop(seconds(10), seconds(18));

  private final ServerEnds serverEnds = new ServerEnds();

  private static long seconds(double seconds) {
    return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
  }

  private static Outcome cut(Kind kind, boolean begun, double sentAt, double endedAt) {
    return outcome(kind, End.CLOSED, begun, sentAt, endedAt);
  }

  private static Outcome outcome(Kind kind, End end, boolean begun, double sentAt, double endedAt) {
    return new Outcome(
        REQUEST,
        kind,
        "key-0",
        HOST,
        0,
        false,
        "",
        end,
        Duration.ofSeconds(6),
        begun,
        seconds(sentAt),
        seconds(endedAt));
  }

  private static RunLedger.Run run(String instance, double startedAt) {
    return new RunLedger.Run(
        REQUEST, instance, Optional.of("account-0"), false, seconds(startedAt));
  }

  private static HostHistory host(List<Stop> stops, List<Period> interruptions, String... sent) {
    return new HostHistory(HOST, stops, interruptions, Set.of(sent));
  }

  private List<String> violations(HostHistory host, Outcome outcome, RunLedger.Run... runs) {
    return new CutAnswerChecks(List.of(runs), List.of(host), serverEnds)
        .findViolations(List.of(outcome));
  }

  private static void assertViolation(String text, List<String> violations) {
    assertEquals(1, violations.size());
    assertTrue(violations.get(0).startsWith(text), violations.get(0));
  }

  @Nested
  @DisplayName("around a planned stop")
  class AroundStop {

    private final HostHistory host = host(List.of(STOP), List.of());

    @Test
    @DisplayName("finds a request that was taken after the signal, ran and got no answer")
    void findsRequestThatRan() {
      assertViolation(
          "taken after the signal",
          violations(host, cut(Kind.BOOK, false, 16.5, 17.9), run("i-0", 16.6)));
    }

    @Test
    @DisplayName("finds one that the host says it sent to a server that did not take it")
    void findsRequestThatWasSent() {
      HostHistory sending = host(List.of(STOP), List.of(), REQUEST);
      assertViolation(
          "taken after the signal", violations(sending, cut(Kind.READ, false, 16.5, 17.9)));
    }

    @Test
    @DisplayName("finds a stream that was taken after the signal and cut")
    void findsStream() {
      assertViolation(
          "taken after the signal",
          violations(host, cut(Kind.CHAT, true, 13, 17.9), run("i-0", 13.1)));
    }

    @Test
    @DisplayName("allows a closed connection whose request was not passed to a server")
    void allowsRequestThatWasNotPassedOn() {
      assertEquals(List.of(), violations(host, cut(Kind.READ, false, 16.5, 17.9)));
    }

    @Test
    @DisplayName("allows a stream that was open at the signal and outlasts the grace")
    void allowsLongStream() {
      assertEquals(List.of(), violations(host, cut(Kind.CHAT, true, 9.5, 17.4), run("i-0", 9.6)));
    }

    @Test
    @DisplayName("finds a stream that was open at the signal and is cut before the grace is over")
    void findsStreamCutBeforeGrace() {
      assertViolation(
          "cut by a planned stop before its grace",
          violations(host, cut(Kind.CHAT, true, 9.5, 13), run("i-0", 9.6)));
    }
  }

  @Nested
  @DisplayName("at a host that was not stopped")
  class WithoutStop {

    private final HostHistory host = host(List.of(), List.of());

    @Test
    @DisplayName("finds an answer that was cut with time left")
    void findsCut() {
      assertViolation(
          "cut by a host that was not stopped",
          violations(host, cut(Kind.CHAT, true, 1, 3), run("i-0", 1.1)));
    }

    @Test
    @DisplayName("finds it also if one of two sends was ended by its server")
    void findsCutWithRunLeft() {
      serverEnds.add("i-0", seconds(1), seconds(2));
      assertViolation(
          "cut by a host that was not stopped",
          violations(host, cut(Kind.CHAT, true, 1, 3), run("i-0", 1.1), run("i-1", 2)));
    }

    @Test
    @DisplayName("allows it once servers have ended all sends")
    void allowsCutWithoutRunLeft() {
      serverEnds.add("i-0", seconds(1), seconds(2));
      serverEnds.add("i-1", seconds(2), seconds(4));
      assertEquals(
          List.of(), violations(host, cut(Kind.CHAT, true, 1, 3), run("i-0", 1.1), run("i-1", 2)));
    }

    @Test
    @DisplayName("allows an answer that has begun to be cut at its deadline")
    void allowsDeadline() {
      assertEquals(List.of(), violations(host, cut(Kind.CHAT, true, 1, 7), run("i-0", 1.1)));
    }

    @Test
    @DisplayName("finds a request whose connection is closed at its deadline without an answer")
    void findsNoAnswerAtDeadline() {
      assertViolation(
          "cut by a host that was not stopped",
          violations(host, cut(Kind.READ, false, 1, 3.1), run("i-0", 1.1)));
    }

    @Test
    @DisplayName("finds a request that is neither answered nor closed")
    void findsSilence() {
      assertViolation(
          "neither answered nor closed",
          violations(host, outcome(Kind.READ, End.GIVEN_UP, false, 1, 17)));
    }

    @Test
    @DisplayName("allows a cut while the host was paused or killed")
    void allowsInterruption() {
      HostHistory paused = host(List.of(), List.of(new Period(seconds(2), seconds(4))));
      assertEquals(List.of(), violations(paused, cut(Kind.CHAT, true, 1, 3), run("i-0", 1.1)));
    }
  }
}
