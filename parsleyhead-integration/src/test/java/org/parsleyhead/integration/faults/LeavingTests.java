package org.parsleyhead.integration.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.io.TempDir;
import org.parsleyhead.core.ticket.UpstreamItem;
import org.parsleyhead.integration.RawConnection;
import org.parsleyhead.integration.fleet.EntryHost;
import org.parsleyhead.integration.fleet.FleetHttpClient;
import org.parsleyhead.integration.fleet.Fleets;
import org.parsleyhead.integration.fleet.LocalFleet;
import org.parsleyhead.integration.fleet.SampleTickets;
import org.parsleyhead.integration.fleet.StandinLayout;
import org.parsleyhead.standin.ledger.LedgerCodec;
import org.parsleyhead.standin.ledger.LedgerEntry;

@Tag("long-running")
@DisplayName("Three entry hosts under streaming load")
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class LeavingTests {

  private static final ChatDriver.Load LOAD = new ChatDriver.Load(12, 2, 20, 80, 53);
  private static final Duration LEAVING_GRACE = Duration.ofSeconds(5);
  private static final Duration OBSERVATION_TIME = Duration.ofSeconds(6);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(60);
  private static final int STREAM_COUNT = 20;

  @TempDir private static Path directory;
  private static LocalFleet fleet;

  @BeforeAll
  static void start() {
    StandinLayout layout = StandinLayout.onFreePorts(4, List.of());
    fleet =
        Fleets.start(
            directory, layout, 3, Map.of(), SampleTickets.first(layout, 2, 1_000_000, 10_000_000));
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  @Test
  @Order(1)
  @DisplayName("send no new work to an engine that the host list marks as leaving")
  void leavingByHostList() {
    assertReceivesNoNewWork(
        engine -> fleet.standins().publishHosts(2, fleet.hosts(), List.of(engine)));
  }

  @Test
  @Order(2)
  @DisplayName("send no new work to an engine that a ticket marks as leaving")
  void leavingByTicket() {
    assertReceivesNoNewWork(
        engine -> fleet.standins().publish(SampleTickets.upstream(2, leavingEngine(engine))));
  }

  @Test
  @Order(3)
  @DisplayName("complete all streams of a host during its planned stop, which exits with 0")
  void plannedStop() {
    EntryHost stopped = fleet.hosts().get(2);
    ChatExchange chat = new ChatExchange("adapter-1@1", "until the end", 200);
    List<RawConnection> streams = new ArrayList<>();
    for (int index = 0; index < STREAM_COUNT; index++) {
      streams.add(
          RawConnection.open(
              stopped.callerEndpoint(),
              ChatExchange.PATH,
              SampleTickets.CORDIALS_KEY,
              chat.requestBody()));
    }
    ChatDriver driver = ChatDriver.start(fleet.hosts().subList(0, 2), LOAD);
    streams.forEach(stream -> stream.awaitText("\"0:"));
    int status = fleet.process(stopped).terminate(STOP_TIMEOUT);
    driver.close();
    for (RawConnection stream : streams) {
      String response = stream.readToEnd();
      assertTrue(response.contains("[DONE]") && response.contains("\"199:"), response);
    }
    assertEquals(0, status);
    assertEquals(List.of(), driver.problems());
    assertEquals(Map.of(), driver.refusals());
  }

  private static UpstreamItem leavingEngine(String engine) {
    return SampleTickets.engine(engine, fleet.layout().engines().get(engine), true).asLeaving();
  }

  private static void assertReceivesNoNewWork(Consumer<String> publish) {
    try (ChatDriver driver = ChatDriver.start(fleet.hosts(), LOAD)) {
      FleetHttpClient.await(
          "complete answers", STOP_TIMEOUT, () -> driver.completeCount() > LOAD.threads());
      String engine = lastUsedEngine();
      publish.accept(engine);
      long graceEnd = System.currentTimeMillis() + LEAVING_GRACE.toMillis();
      final int completeBefore = driver.completeCount();
      FleetHttpClient.await(
          "the end of the observation time",
          STOP_TIMEOUT,
          () -> System.currentTimeMillis() > graceEnd + OBSERVATION_TIME.toMillis());
      long lastCompletion = lastCompletionStart(engine).orElseThrow();
      System.out.println(
          "leaving="
              + engine
              + " last_start_before_limit_milliseconds="
              + (graceEnd - lastCompletion));
      assertTrue(
          lastCompletion <= graceEnd,
          "engine started a completion "
              + (lastCompletion - graceEnd)
              + " ms after the grace period");
      assertTrue(
          driver.completeCount() > completeBefore, "expected answers from the other engines");
      assertEquals(List.of(), driver.problems());
    }
  }

  /** Returns the engine that started the most recent completion. */
  private static String lastUsedEngine() {
    return fleet.standins().fetchLedger().stream()
        .map(LedgerCodec::decode)
        .filter(entry -> entry.kind().equals("completion"))
        .max(Comparator.comparingLong(LedgerEntry::startMilliseconds))
        .orElseThrow()
        .upstream();
  }

  /** Returns the start of the last completion on an engine, in milliseconds since the epoch. */
  private static Optional<Long> lastCompletionStart(String engine) {
    return fleet.standins().fetchLedger().stream()
        .map(LedgerCodec::decode)
        .filter(entry -> entry.upstream().equals(engine) && entry.kind().equals("completion"))
        .map(entry -> entry.startMilliseconds())
        .max(Long::compare);
  }
}
