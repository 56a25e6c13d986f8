package org.parsleyhead.load.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.load.settings.LoadSettingsReader;

@DisplayName("A schedule")
class ScheduleTests {

  private static final String SETTINGS =
      """
      seed = 3
      duration = "100 s"
      targets = ["127.0.0.1:1", "127.0.0.1:2"]
      target_choice = "CHOICE"
      moving_interval = "10 s"
      [adapters]
      count = 100
      zipf_exponent = 1.0
      [account.a]
      key = "key-a"
      [traffic.chat]
      account = "a"
      requests_per_second = 50
      [traffic.other]
      account = "a"
      requests_per_second = 10
      [phase.peak]
      start = "50 s"
      end = "100 s"
      traffic = "chat"
      rate_factor = 3.0
      rank_shift = 7
      """;

  @Test
  @DisplayName("is deterministic for a seed and a run name, and ordered by scheduled time")
  void isRepeatable() {
    List<PlannedRequest> first = schedule("even");
    assertEquals(first, schedule("even"));
    for (int index = 1; index < first.size(); index++) {
      assertTrue(first.get(index).due().compareTo(first.get(index - 1).due()) >= 0);
    }
  }

  @Test
  @DisplayName("assigns unique contents and identifiers to its requests")
  void isUnique() {
    List<PlannedRequest> all = schedule("even");
    assertEquals(all.size(), all.stream().map(PlannedRequest::content).distinct().count());
    assertEquals(all.size(), all.stream().map(PlannedRequest::identifier).distinct().count());
  }

  @Test
  @DisplayName("applies the rate factors of its phases")
  void followsPhases() {
    double before = count(request -> isChat(request) && isEarly(request));
    double after = count(request -> isChat(request) && !isEarly(request));
    assertEquals(2500, before, 250);
    assertEquals(7500, after, 500);
  }

  @Test
  @DisplayName("prefers popular adapters and rotates their ranks in a phase with a rank shift")
  void shiftsPopularity() {
    assertEquals("adapter-0@1", mostFrequent(request -> isChat(request) && isEarly(request)));
    assertEquals("adapter-7@1", mostFrequent(request -> isChat(request) && !isEarly(request)));
  }

  @Test
  @DisplayName(
      "distributes requests evenly, by client account, or by client account with moving targets")
  void choosesTargets() {
    assertEquals(2, targets("even", request -> true));
    assertEquals(1, targets("skewed", request -> true));
    assertEquals(1, targets("moving", request -> request.due().toSeconds() < 10));
    assertEquals(2, targets("moving", request -> true));
  }

  @Test
  @DisplayName("sends the second attempt of a repeated request to the other target")
  void repeats() {
    var settings =
        LoadSettingsReader.read(
            SETTINGS
                .replace("CHOICE", "skewed")
                .replace("[traffic.other]", "repeat_probability = 1.0\n[traffic.other]"));
    List<PlannedRequest> requests = new ArrayList<>();
    new Schedule(settings, "run").forEachRemaining(requests::add);
    List<PlannedRequest> chats = requests.stream().filter(ScheduleTests::isChat).toList();
    assertEquals(
        chats.size(), 2 * chats.stream().filter(request -> request.attempt() == 2).count());
    assertEquals(2, chats.stream().map(PlannedRequest::target).distinct().count());
  }

  @Test
  @DisplayName("generates different contents for different run names")
  void differsForRuns() {
    var settings = LoadSettingsReader.read(SETTINGS.replace("CHOICE", "even"));
    assertNotEquals(
        new Schedule(settings, "one").next().content(),
        new Schedule(settings, "two").next().content());
  }

  private static boolean isChat(PlannedRequest request) {
    return request.traffic().name().equals("chat");
  }

  private static boolean isEarly(PlannedRequest request) {
    return request.due().compareTo(Duration.ofSeconds(50)) < 0;
  }

  private static double count(Predicate<PlannedRequest> filter) {
    return schedule("even").stream().filter(filter).count();
  }

  private static long targets(String choice, Predicate<PlannedRequest> filter) {
    return schedule(choice).stream().filter(filter).map(PlannedRequest::target).distinct().count();
  }

  private static String mostFrequent(Predicate<PlannedRequest> filter) {
    Map<String, Long> counts =
        schedule("even").stream()
            .filter(filter)
            .collect(Collectors.groupingBy(PlannedRequest::model, Collectors.counting()));
    return counts.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
  }

  private static List<PlannedRequest> schedule(String choice) {
    Schedule schedule =
        new Schedule(LoadSettingsReader.read(SETTINGS.replace("CHOICE", choice)), "run");
    List<PlannedRequest> requests = new ArrayList<>();
    schedule.forEachRemaining(requests::add);
    return requests;
  }
}
