package org.parsleyhead.integration.soak;

import java.time.Duration;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * How a planned stop ended, by the exit status and the log of its process.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status the exit status
 * @param log the whole log of the process
 */
record StopOutcome(int status, String log) {

  /** How long a host waits for what it took before the signal. */
  private static final Duration STOP_TIME = Duration.ofSeconds(7);

  private static final Pattern COUNT = Pattern.compile("event=stopped unanswered=(\\d+)");
  private static final Pattern UNANSWERED =
      Pattern.compile("event=unanswered .*after_signal_ms=(-?\\d+) active_ms=(\\d+)");

  /**
   * Returns whether the process answered all requests, or left only such that it took before the
   * signal and waited for until its time was over, and named each of them.
   */
  boolean kept() {
    return status == 0 || status == 1 && namesOnlyRequestsThatOutlastedIt();
  }

  private boolean namesOnlyRequestsThatOutlastedIt() {
    Matcher count = COUNT.matcher(log);
    List<Matcher> named = log.lines().map(UNANSWERED::matcher).filter(Matcher::find).toList();
    return count.find()
        && named.size() == Integer.parseInt(count.group(1))
        && !named.isEmpty()
        && named.stream().allMatch(StopOutcome::outlastedStop);
  }

  private static boolean outlastedStop(Matcher unanswered) {
    long takenAfterSignal = Long.parseLong(unanswered.group(1));
    long active = Long.parseLong(unanswered.group(2));
    return takenAfterSignal < 0 && takenAfterSignal + active >= STOP_TIME.toMillis();
  }
}
