package org.parsleyhead.gateway.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleyhead.core.dispatch.AttemptOutcome;
import org.parsleyhead.core.dispatch.AttemptResult;

/** Requests with few identifiers, sent again and again to a server that answers twice. */
@DisplayName("Callers of a server that answers twice")
@Timeout(value = 60)
class LateSecondAnswerTests {

  private static final int CALLERS = 12;
  private static final int REQUESTS_PER_CALLER = 50;
  private static final int IDENTIFIERS = 5;

  static LongStream manySeeds() {
    return LongStream.range(100, 150);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  @DisplayName("receive the first answer to their own send, or none")
  void receiveOwnAnswer(long seed) throws Exception {
    checkAnswers(seed);
  }

  @ParameterizedTest
  @MethodSource("manySeeds")
  @Tag("long-running")
  @DisplayName("receive the first answer to their own send, or none, for many seeds")
  void receiveOwnAnswerForManySeeds(long seed) throws Exception {
    checkAnswers(seed);
  }

  private static void checkAnswers(long seed) throws Exception {
    Map<String, AttemptResult> results = new ConcurrentHashMap<>();
    Map<String, Optional<RawCaller.Response>> responses = new ConcurrentHashMap<>();
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    try (StutteringServer server = new StutteringServer(seed);
        ForwardingHost host =
            new ForwardingHost(
                server.port(),
                (exchange, result) -> {
                  results.put(exchange.request().path(), result);
                  if (result.outcome() != AttemptOutcome.COMPLETED) {
                    exchange.deliverBufferedResponse();
                  }
                })) {
      List<Callable<Void>> tasks = new ArrayList<>();
      for (int caller = 0; caller < CALLERS; caller++) {
        Random random = new Random(seed * CALLERS + caller);
        String prefix = "/" + caller + "/";
        tasks.add(() -> sendRequests(host, prefix, random, responses));
      }
      for (Future<Void> ended : callers.invokeAll(tasks)) {
        ended.get();
      }
      List<String> violations = new ArrayList<>();
      responses.forEach(
          (path, response) ->
              violation(server.answer(path), response, results.get(path))
                  .ifPresent(text -> violations.add(path + ": " + text)));
      long answered = responses.values().stream().filter(Optional::isPresent).count();
      System.out.printf(
          "late_second_answers seed=%d requests=%d answered=%d second_answers=%d violations=%d%n",
          seed, responses.size(), answered, server.secondAnswers(), violations.size());
      assertEquals(List.of(), violations, "seed " + seed);
      assertEquals(CALLERS * REQUESTS_PER_CALLER, responses.size());
      assertTrue(answered > responses.size() / 2, "seed " + seed + ": answered " + answered);
      assertTrue(server.secondAnswers() > 0, "no second answer");
    } finally {
      callers.shutdownNow();
      callers.awaitTermination(10, TimeUnit.SECONDS);
    }
  }

  private static Void sendRequests(
      ForwardingHost host,
      String prefix,
      Random random,
      Map<String, Optional<RawCaller.Response>> responses)
      throws Exception {
    try (RawCaller caller = new RawCaller(host)) {
      for (int number = 0; number < REQUESTS_PER_CALLER; number++) {
        String path = (random.nextInt(4) == 0 ? "/stream" : "/plain") + prefix + number;
        responses.put(path, caller.call(path, "identifier-" + random.nextInt(IDENTIFIERS)));
      }
    }
    return null;
  }

  /** Returns how the answer of the server, the response and the result contradict each other. */
  private static Optional<String> violation(
      StutteringServer.Answer answer, Optional<RawCaller.Response> response, AttemptResult result) {
    String observed = " server: " + answer + " host: " + result + " caller: " + response;
    boolean own =
        response.isEmpty()
            || answer != null
                && answer.whole()
                && answer.status() == response.get().status()
                && answer.body().equals(response.get().body());
    if (!own) {
      return Optional.of("not the first answer to its own send;" + observed);
    }
    boolean notRun = result != null && result.outcome() == AttemptOutcome.NO_ROOM;
    if (notRun && !(answer != null && answer.notRun())) {
      return Optional.of("reported as not run, which the server did not state;" + observed);
    }
    return Optional.empty();
  }
}
