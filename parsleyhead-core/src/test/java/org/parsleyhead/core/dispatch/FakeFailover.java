package org.parsleyhead.core.dispatch;

import static org.parsleyhead.core.dispatch.DispatchFixture.ADAPTER;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * One stream before servers with exact times: the first server falls silent, the second takes no
 * connection, and later attempts and load requests are answered as a test says.
 *
 * <p>Confined to one thread.
 */
final class FakeFailover {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
  private static final Duration SILENCE = Duration.ofMillis(1_200);
  private static final Duration REPEATED_SILENCE = Duration.ofMillis(400);
  private static final Duration REMAINDER = Duration.ofSeconds(2);

  private final DispatchFixture host;
  private final LoadAnswer loadAnswer;
  private final AttemptAnswer laterAttempts;
  private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
  private final List<Integer> attempts = new ArrayList<>();
  private Optional<DispatchEffect> ending = Optional.empty();
  private boolean started;
  private long key;
  private int sequence;

  FakeFailover(DispatchFixture host, LoadAnswer loadAnswer, AttemptAnswer laterAttempts) {
    this.host = host;
    this.loadAnswer = loadAnswer;
    this.laterAttempts = laterAttempts;
  }

  /** Answers a load request in the name of the owner of a server. */
  @FunctionalInterface
  interface LoadAnswer {

    /** Schedules the answer, if there is one. */
    void answer(FakeFailover servers, DispatchEffect.RequestLoad load);
  }

  /** Answers the third attempt and those behind it. */
  @FunctionalInterface
  interface AttemptAnswer {

    /** Schedules the events of an attempt. */
    void answer(FakeFailover servers, DispatchEffect.Send send);
  }

  /** Plays a stream whose first event is made as its server is checked for silence. */
  void playCrossing(String path) {
    receive(path);
    run();
  }

  /** Plays a stream that falls silent after its first event. */
  void playSilence(String path) {
    receive(path);
    start(1);
    reportSilenceAfter(SILENCE);
    run();
  }

  /** Returns the numbers of the attempts that were sent. */
  List<Integer> attempts() {
    return attempts;
  }

  /** Returns the effect that ended the stream. */
  DispatchEffect ending() {
    return ending.orElseThrow(() -> new AssertionError("the stream has no ending"));
  }

  /** Schedules an event of the host. */
  void after(Duration delay, DispatchEvent event) {
    schedule(delay, () -> execute(host.apply(event)));
  }

  /** Fails an attempt whose server takes no connection. */
  void takeNoConnection(DispatchEffect.Send send) {
    after(CONNECT_TIMEOUT, ended(send.attempt(), AttemptOutcome.NOT_SENT));
  }

  /** Streams the remainder of the response. */
  void stream(DispatchEffect.Send send) {
    start(send.attempt());
    after(REMAINDER, ended(send.attempt(), AttemptOutcome.COMPLETED));
  }

  private void receive(String path) {
    execute(
        host.receive(
            path, DispatchFixture.work(ADAPTER), FakeCallers.DEADLINE, created -> key = created));
  }

  private void start(int attempt) {
    started = true;
    after(Duration.ZERO, new DispatchEvent.ResponseStarted(key, attempt));
  }

  private void reportSilenceAfter(Duration delay) {
    schedule(
        delay,
        () -> {
          if (attempts.size() == 1 && ending.isEmpty()) {
            reportSilenceAfter(REPEATED_SILENCE);
            execute(host.apply(new DispatchEvent.StreamSilent(key, 1)));
          }
        });
  }

  private void run() {
    while (!queue.isEmpty() && ending.isEmpty()) {
      Scheduled next = queue.poll();
      host.advance(next.at.since(host.now()));
      next.action.run();
    }
  }

  private void schedule(Duration delay, Runnable action) {
    queue.add(new Scheduled(host.now().plus(delay), sequence++, action));
  }

  private void execute(List<DispatchEffect> effects) {
    effects.forEach(this::execute);
  }

  private void execute(DispatchEffect effect) {
    if (effect instanceof DispatchEffect.WakeAfter wake) {
      after(wake.delay(), new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber()));
    } else if (effect instanceof DispatchEffect.Send send) {
      send(send);
    } else if (effect instanceof DispatchEffect.WithdrawAttempt withdraw) {
      withdraw(withdraw);
    } else if (effect instanceof DispatchEffect.RequestLoad load) {
      loadAnswer.answer(this, load);
    } else if (effect instanceof DispatchEffect.Finished
        || effect instanceof DispatchEffect.Refuse
        || effect instanceof DispatchEffect.Abort
        || effect instanceof DispatchEffect.DeliverBufferedResponse) {
      ending = Optional.of(effect);
    }
  }

  private void send(DispatchEffect.Send send) {
    attempts.add(send.attempt());
    if (send.attempt() == 2) {
      takeNoConnection(send);
    } else if (send.attempt() > 2) {
      laterAttempts.answer(this, send);
    }
  }

  /** The event loop: the first event crosses the withdrawal unless the attempt began before. */
  private void withdraw(DispatchEffect.WithdrawAttempt withdraw) {
    if (started) {
      after(Duration.ZERO, ended(withdraw.attempt(), AttemptOutcome.WITHDRAWN));
    } else {
      start(withdraw.attempt());
      after(Duration.ZERO, new DispatchEvent.AttemptKept(key, withdraw.attempt()));
      after(REMAINDER, ended(withdraw.attempt(), AttemptOutcome.COMPLETED));
    }
  }

  private DispatchEvent ended(int attempt, AttemptOutcome outcome) {
    return new DispatchEvent.AttemptEnded(
        key, attempt, new AttemptResult(outcome, 0, started, false, Optional.empty(), "test"));
  }

  private record Scheduled(MonotonicTime at, int sequence, Runnable action)
      implements Comparable<Scheduled> {

    @Override
    public int compareTo(Scheduled other) {
      int byTime = Long.compare(at.nanoseconds(), other.at.nanoseconds());
      return byTime != 0 ? byTime : Integer.compare(sequence, other.sequence);
    }
  }
}
