package org.parsleyhead.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * An answer that has begun ends by its last event, its caller, its deadline, or its server's end
 * with no run left; by nothing else.
 *
 * <p>More seeds are run with {@code -Dparsleyhead.answer.seeds=FIRST-LAST}.
 */
@DisplayName("Answers of sound servers that fall silent at any point and go on")
@Timeout(600)
class DrawnAnswersTests {

  private static final String SEEDS_PROPERTY = "parsleyhead.answer.seeds";
  private static final String DEFAULT_SEEDS = "1-2";
  private static final int SERVERS = 4;
  private static final int CALLERS = 160;
  private static final int ARRIVAL_MILLISECONDS = 2_000;
  private static final int CATALOGUE_INTERVAL_MILLISECONDS = 100;
  private static final int MAXIMUM_SENDS = 4;
  private static final String LASTING_KEY = "lasting";
  private static final String CHANGING_KEY = "changing";
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
  private static final Pattern POSSIBLE_RUN =
      Pattern.compile(" event=send_ended .* outcome=(BROKEN|WITHDRAWN|FAILED) .* connection=");
  private static final Pattern LEFT_RUN =
      Pattern.compile(" event=send_ended .* outcome=WITHDRAWN .* connection=");
  private static final Pattern ENDED_RUN =
      Pattern.compile(" event=send_ended .* outcome=(BROKEN|FAILED) .* connection=");
  private static final Pattern INSTANCE = Pattern.compile(" instance=(\\S+)");
  private static final Set<String> LOGGED_ENDS =
      Set.of("finished", "refused", "broken_off", "failure_delivered", "already_answered");

  static LongStream seeds() {
    String[] range = System.getProperty(SEEDS_PROPERTY, DEFAULT_SEEDS).split("-");
    return LongStream.rangeClosed(
        Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  @DisplayName("end by their last event, their caller, their deadline or their servers only")
  void endOnlyByTheirOwnEnds(long seed) throws Exception {
    check(seed, logged -> true);
  }

  /** A run that the host has left for its silence might have gone on. */
  @ParameterizedTest
  @MethodSource("seeds")
  @DisplayName("end by their servers only if these ended each run")
  void endOnlyByServersThatEndedEachRun(long seed) throws Exception {
    check(seed, DrawnAnswersTests::serversEndedEachRun);
  }

  /** Returns whether each server that was left for its silence has ended a later run itself. */
  private static boolean serversEndedEachRun(List<String> logged) {
    Set<String> left = new HashSet<>();
    for (String line : logged) {
      if (LEFT_RUN.matcher(line).find()) {
        left.add(instance(line));
      } else if (ENDED_RUN.matcher(line).find()) {
        left.remove(instance(line));
      }
    }
    return left.isEmpty();
  }

  private static String instance(String line) {
    Matcher matcher = INSTANCE.matcher(line);
    return matcher.find() ? matcher.group(1) : "";
  }

  /**
   * Checks all answers of a seed.
   *
   * @param servers decides by the log of a request that has begun whether its servers may end it
   */
  private static void check(long seed, Predicate<List<String>> servers) throws Exception {
    RunRecords records = new RunRecords();
    List<HesitantServer> hesitantServers = new ArrayList<>();
    for (int index = 0; index < SERVERS; index++) {
      hesitantServers.add(new HesitantServer(SERVERS * seed + index, records));
    }
    List<Integer> ports = hesitantServers.stream().map(HesitantServer::port).toList();
    List<DrawnCaller> callers = draw(seed);
    List<String> violations = new ArrayList<>();
    Map<String, Integer> counts = new HashMap<>();
    try (RequestLines lines = new RequestLines();
        DispatchingHost host = new DispatchingHost(ports, Set.of(LASTING_KEY, CHANGING_KEY))) {
      Map<DrawnCaller, DrawnCaller.Answer> answers = call(host, callers, seed);
      awaitNoActiveRequest(host);
      host.stopDuty();
      answers.forEach(
          (caller, answer) -> {
            List<RunRecords.Run> runs = records.of(caller.identifier());
            List<String> ends = host.ends(caller.identifier());
            List<String> logged = lines.of(caller.identifier());
            counts.merge(answer.end() + " " + answer.status(), 1, Integer::sum);
            violation(caller, answer, runs, ends, logged, servers)
                .ifPresent(
                    found -> violations.add(describe(found, caller, answer, runs, ends, logged)));
          });
      assertEquals(List.of(), host.ends(""));
    } finally {
      for (HesitantServer server : hesitantServers) {
        server.close();
      }
    }
    assertTrue(
        violations.isEmpty(),
        () -> "seed " + seed + ", " + counts + "\n" + String.join("\n\n", violations));
    assertTrue(counts.getOrDefault("WHOLE 200", 0) > CALLERS / 4, counts::toString);
  }

  private static List<DrawnCaller> draw(long seed) {
    Random random = new Random(seed);
    List<DrawnCaller> callers = new ArrayList<>();
    for (int index = 0; index < CALLERS; index++) {
      boolean slow = random.nextInt(12) == 0;
      boolean leaves = random.nextInt(10) == 0;
      boolean hurried = random.nextInt(8) == 0;
      String path =
          switch (random.nextInt(10)) {
            case 0, 1 -> "/read";
            case 2 -> "/book";
            case 3 -> "/once/" + (1 + random.nextInt(12)) + "/20";
            default -> "/stream/" + (1 + random.nextInt(12)) + "/" + (slow ? 400_000 : 20);
          };
      callers.add(
          new DrawnCaller(
              "s" + seed + "r" + index,
              path,
              random.nextInt(3) == 0 ? CHANGING_KEY : LASTING_KEY,
              Duration.ofMillis(hurried ? 300 + random.nextInt(1_500) : 4_500),
              Duration.ofMillis(slow ? 1 + random.nextInt(20) : 0),
              leaves
                  ? Optional.of(Duration.ofMillis(50 + random.nextInt(2_000)))
                  : Optional.empty()));
    }
    return callers;
  }

  private static Map<DrawnCaller, DrawnCaller.Answer> call(
      DispatchingHost host, List<DrawnCaller> callers, long seed) throws Exception {
    Random random = new Random(~seed);
    AtomicBoolean done = new AtomicBoolean();
    Thread changes = new Thread(() -> changeCatalogues(host, done), "changes");
    changes.start();
    ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
    Map<DrawnCaller, Future<DrawnCaller.Answer>> calls = new HashMap<>();
    for (DrawnCaller caller : callers) {
      int arrival = random.nextInt(ARRIVAL_MILLISECONDS);
      calls.put(
          caller,
          threads.submit(
              () -> {
                TimeUnit.MILLISECONDS.sleep(arrival);
                return caller.call(host.port());
              }));
    }
    Map<DrawnCaller, DrawnCaller.Answer> answers = new HashMap<>();
    for (DrawnCaller caller : callers) {
      answers.put(caller, calls.get(caller).get(60, TimeUnit.SECONDS));
    }
    done.set(true);
    changes.join();
    threads.shutdownNow();
    return answers;
  }

  /** Revokes a key with each second catalogue. */
  private static void changeCatalogues(DispatchingHost host, AtomicBoolean done) {
    try {
      for (long version = 2; !done.get(); version++) {
        host.changeCatalogue(
            version, version % 2 == 0 ? Set.of(LASTING_KEY) : Set.of(LASTING_KEY, CHANGING_KEY));
        TimeUnit.MILLISECONDS.sleep(CATALOGUE_INTERVAL_MILLISECONDS);
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private static void awaitNoActiveRequest(DispatchingHost host) throws InterruptedException {
    while (host.activeRequests() > 0) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  /** Returns what is wrong with the end of an answer. */
  private static Optional<String> violation(
      DrawnCaller caller,
      DrawnCaller.Answer answer,
      List<RunRecords.Run> runs,
      List<String> ends,
      List<String> logged,
      Predicate<List<String>> servers) {
    boolean left = answer.end() == DrawnCaller.End.LEFT;
    List<String> loggedEnds =
        logged.stream()
            .map(line -> line.replaceFirst(".* event=(\\S+) .*", "$1"))
            .filter(LOGGED_ENDS::contains)
            .toList();
    if (left ? ends.size() > 1 : ends.size() != 1) {
      return Optional.of("it has " + ends.size() + " ends");
    }
    if (left ? loggedEnds.size() > 1 : loggedEnds.size() != 1) {
      return Optional.of("its ends in the log are " + loggedEnds);
    }
    boolean repeatable = caller.path().startsWith("/stream") || caller.path().equals("/read");
    if (!repeatable && runs.size() > 1) {
      return Optional.of("it must not run twice");
    }
    boolean late = answer.elapsed().compareTo(caller.deadline()) >= 0;
    int allowedRuns = repeatable ? DispatchingHost.RUNS : 1;
    boolean endedByServers =
        Math.max(runs.size(), possibleRuns(logged)) >= allowedRuns
            && lastEndedByServer(runs, logged);
    return switch (answer.end()) {
      case NONE -> Optional.of("it never ended");
      case WHOLE ->
          loggedEnds.contains("broken_off")
              ? Optional.of("it is whole and was logged as broken off")
              : wholeViolation(
                  caller, answer, runs, late || endedByServers || sendsAreUsedUp(logged));
      case CUT ->
          answer.status() != 200
              ? Optional.of("its connection was closed without an answer")
              : cutViolation(caller, answer, late || endedByServers && servers.test(logged));
      case LEFT -> prefixViolation(caller, answer);
    };
  }

  private static Optional<String> wholeViolation(
      DrawnCaller caller, DrawnCaller.Answer answer, List<RunRecords.Run> runs, boolean mayFail) {
    if (answer.status() == 200) {
      return answer.body().equals(expected(caller))
          ? Optional.empty()
          : Optional.of("its body is not that of its servers");
    }
    if (answer.status() == 401) {
      return caller.key().equals(CHANGING_KEY) && runs.isEmpty()
          ? Optional.empty()
          : Optional.of("it was refused for a key that is known");
    }
    if (NOT_RUN_STATUSES.contains(answer.status())) {
      return runs.isEmpty() ? Optional.empty() : Optional.of("it says that it has not run");
    }
    return mayFail ? Optional.empty() : Optional.of("it failed without a reason");
  }

  /** Returns the number of sends that were written and may have run, or may run later. */
  private static long possibleRuns(List<String> logged) {
    return logged.stream().filter(line -> POSSIBLE_RUN.matcher(line).find()).count();
  }

  /** Returns whether the server of the last send broke the answer off. */
  private static boolean lastEndedByServer(List<RunRecords.Run> runs, List<String> logged) {
    List<String> servers =
        logged.stream()
            .filter(line -> line.contains(" event=sent "))
            .map(line -> line.replaceFirst(".* instance=(\\S+) .*", "$1"))
            .toList();
    return !servers.isEmpty()
        && runs.stream()
            .anyMatch(run -> run.endedByServer() && run.isAt(servers.get(servers.size() - 1)));
  }

  /** Returns whether an answer that has not begun may fail, since it was sent often enough. */
  private static boolean sendsAreUsedUp(List<String> logged) {
    return logged.stream().filter(line -> line.contains(" event=sent ")).count() == MAXIMUM_SENDS;
  }

  private static Optional<String> cutViolation(
      DrawnCaller caller, DrawnCaller.Answer answer, boolean mayBeCut) {
    return mayBeCut
        ? prefixViolation(caller, answer)
        : Optional.of("it had begun and was given up");
  }

  private static Optional<String> prefixViolation(DrawnCaller caller, DrawnCaller.Answer answer) {
    return answer.status() != 200 || expected(caller).startsWith(answer.body())
        ? Optional.empty()
        : Optional.of("a piece is missing or came twice");
  }

  private static String expected(DrawnCaller caller) {
    String[] parameters = caller.path().split("/");
    return parameters.length < 4
        ? HesitantServer.plain(caller.identifier())
        : HesitantServer.stream(
            caller.identifier(), Integer.parseInt(parameters[2]), Integer.parseInt(parameters[3]));
  }

  private static String describe(
      String violation,
      DrawnCaller caller,
      DrawnCaller.Answer answer,
      List<RunRecords.Run> runs,
      List<String> ends,
      List<String> logged) {
    return violation
        + "\n  "
        + caller
        + "\n  "
        + answer.end()
        + " status="
        + answer.status()
        + " bytes="
        + answer.body().length()
        + " elapsed_ms="
        + answer.elapsed().toMillis()
        + "\n  runs "
        + runs
        + "\n  ends "
        + ends
        + "\n  "
        + String.join("\n  ", logged);
  }
}
