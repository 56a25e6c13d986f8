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
import org.parsleyhead.integration.fleet.Fleets;
import org.parsleyhead.integration.fleet.HttpCalls;
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
  private static final Duration GRACE = Duration.ofSeconds(5);
  private static final Duration WATCHED = Duration.ofSeconds(6);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(60);
  private static final int STREAMS = 20;

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
  @DisplayName("give nothing new to an engine that the host list calls leaving")
  void leavingByHostList() {
    assertLeaves(engine -> fleet.platform().publishHosts(2, fleet.hosts(), List.of(engine)));
  }

  @Test
  @Order(2)
  @DisplayName("give nothing new to an engine that a ticket calls leaving")
  void leavingByTicket() {
    assertLeaves(engine -> fleet.platform().publish(SampleTickets.upstream(2, leaving(engine))));
  }

  @Test
  @Order(3)
  @DisplayName("cut no stream of a host that is stopped as planned, which exits with 0")
  void plannedStop() {
    EntryHost stopped = fleet.hosts().get(2);
    Chat chat = new Chat("adapter-1@1", "until the end", 200);
    List<RawConnection> streams = new ArrayList<>();
    for (int index = 0; index < STREAMS; index++) {
      streams.add(
          RawConnection.open(
              stopped.callers(), Chat.PATH, SampleTickets.CORDIALS_KEY, chat.body()));
    }
    ChatDriver driver = ChatDriver.start(fleet.hosts().subList(0, 2), LOAD);
    streams.forEach(stream -> stream.awaitText("\"0:"));
    int status = fleet.process(stopped).terminate(STOP_TIMEOUT);
    driver.close();
    for (RawConnection stream : streams) {
      String answer = stream.readToEnd();
      assertTrue(answer.contains("[DONE]") && answer.contains("\"199:"), answer);
    }
    assertEquals(0, status);
    assertEquals(List.of(), driver.problems());
    assertEquals(Map.of(), driver.refusals());
  }

  private static UpstreamItem leaving(String engine) {
    return SampleTickets.engine(engine, fleet.layout().engines().get(engine), true).asLeaving();
  }

  private static void assertLeaves(Consumer<String> publish) {
    try (ChatDriver driver = ChatDriver.start(fleet.hosts(), LOAD)) {
      HttpCalls.await("answers", STOP_TIMEOUT, () -> driver.whole() > LOAD.threads());
      String engine = lastUsed();
      publish.accept(engine);
      long limit = System.currentTimeMillis() + GRACE.toMillis();
      final int before = driver.whole();
      HttpCalls.await(
          "time behind the limit",
          STOP_TIMEOUT,
          () -> System.currentTimeMillis() > limit + WATCHED.toMillis());
      long last = lastStart(engine).orElseThrow();
      System.out.println(
          "leaving=" + engine + " last_start_before_limit_milliseconds=" + (limit - last));
      assertTrue(last <= limit, "new work " + (last - limit) + " ms behind the limit");
      assertTrue(driver.whole() > before, "the others went on");
      assertEquals(List.of(), driver.problems());
    }
  }

  /** Returns the engine that started a completion last. */
  private static String lastUsed() {
    return fleet.platform().ledger().stream()
        .map(LedgerCodec::decode)
        .filter(entry -> entry.kind().equals("completion"))
        .max(Comparator.comparingLong(LedgerEntry::startMilliseconds))
        .orElseThrow()
        .upstream();
  }

  /** Returns when the last completion at an engine started. */
  private static Optional<Long> lastStart(String engine) {
    return fleet.platform().ledger().stream()
        .map(LedgerCodec::decode)
        .filter(entry -> entry.upstream().equals(engine) && entry.kind().equals("completion"))
        .map(entry -> entry.startMilliseconds())
        .max(Long::compare);
  }
}
