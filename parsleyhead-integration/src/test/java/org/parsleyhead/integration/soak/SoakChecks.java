package org.parsleyhead.integration.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.parsleyhead.platform.standin.CallerStandin.Kind;
import org.parsleyhead.platform.standin.CallerStandin.Outcome;
import org.parsleyhead.platform.standin.RunLedger;

/**
 * Compares what callers were told with what servers saw.
 *
 * <p>Stateless and thread-safe.
 */
final class SoakChecks {

  /** Statuses that promise that a request has not run and never will. */
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  /** The gap between two hosts' orders to one server, from the users' bounds. */
  private static final Duration LEASE_GAP = Duration.ofMillis(3_000);

  /** Time in which the owner of a server has heard of a new use: some heartbeats. */
  private static final Duration TELLING_TIME = Duration.ofSeconds(1);

  /** Time in which hosts that were disturbed have heard of each other again. */
  private static final Duration SETTLING_TIME = Duration.ofSeconds(3);

  private SoakChecks() {}

  /** Returns the promises that were broken, each with what was seen. */
  static List<String> broken(List<Outcome> outcomes, RunLedger ledger, List<SoakFleet.Host> hosts) {
    List<String> broken = new ArrayList<>();
    Map<String, List<RunLedger.Run>> runs =
        ledger.runs().stream().collect(Collectors.groupingBy(RunLedger.Run::request));
    for (Outcome outcome : outcomes) {
      List<RunLedger.Run> own = runs.getOrDefault(outcome.request(), List.of());
      if (outcome.kind() == Kind.BOOK && own.size() > 1) {
        broken.add("ran twice: " + outcome + own);
      }
      if (NOT_RUN.contains(outcome.status()) && !outcome.stamped() && !own.isEmpty()) {
        broken.add("refused and run: " + outcome + own);
      }
      if (outcome.status() == 200 && !(outcome.stamped() && outcome.complete())) {
        broken.add("success without the whole answer: " + outcome + own);
      }
      String account = outcome.key().replace("key", "account");
      if (own.stream().anyMatch(run -> !run.account().equals(java.util.Optional.of(account)))) {
        broken.add("another account: " + outcome + own);
      }
      if (own.stream().anyMatch(RunLedger.Run::keySeen)) {
        broken.add("key passed on: " + outcome + own);
      }
    }
    broken.addAll(orders(ledger.orders()));
    broken.addAll(unloads(outcomes, ledger, hosts));
    return broken;
  }

  private static List<String> orders(List<RunLedger.Order> orders) {
    List<String> broken = new ArrayList<>();
    Map<String, RunLedger.Order> last = new HashMap<>();
    for (RunLedger.Order order : orders) {
      RunLedger.Order former = last.put(order.instance(), order);
      boolean tooSoon =
          former != null
              && !former.holder().equals(order.holder())
              && order.acceptedAt() - former.acceptedAt() < LEASE_GAP.toNanos();
      if (tooSoon) {
        broken.add("two hosts give orders: " + former + order);
      }
    }
    return broken;
  }

  /**
   * Returns the unloads of adapters that a request had used for long. A host that was disturbed
   * shortly before could not tell of its requests; the server itself keeps what runs.
   */
  private static List<String> unloads(
      List<Outcome> outcomes, RunLedger ledger, List<SoakFleet.Host> hosts) {
    Map<String, SoakFleet.Host> hostOf = new HashMap<>();
    for (Outcome outcome : outcomes) {
      hosts.stream()
          .filter(host -> host.callers().equals(outcome.host()))
          .forEach(host -> hostOf.put(outcome.request(), host));
    }
    Map<String, Long> beganAt = new HashMap<>();
    ledger.runs().forEach(run -> beganAt.put(run.request(), run.startedAt()));
    List<String> broken = new ArrayList<>();
    for (RunLedger.Order order : ledger.orders()) {
      for (String request : order.running()) {
        SoakFleet.Host host = hostOf.get(request);
        boolean told =
            host != null
                && order.acceptedAt() - beganAt.get(request) > TELLING_TIME.toNanos()
                && host.undisturbed(
                    order.acceptedAt() - SETTLING_TIME.toNanos(), order.acceptedAt());
        if (told && order.operation().equals("unload")) {
          broken.add("adapter unloaded in use by " + request + ": " + order);
        }
      }
    }
    return broken;
  }

  /** Returns the share of requests with the lasting key that succeeded since an instant. */
  static double servedSince(List<Outcome> outcomes, long since) {
    List<Outcome> late =
        outcomes.stream()
            .filter(outcome -> outcome.sentAt() >= since && outcome.key().equals("key-0"))
            .toList();
    long served = late.stream().filter(outcome -> outcome.status() == 200).count();
    return late.isEmpty() ? 0 : (double) served / late.size();
  }
}
