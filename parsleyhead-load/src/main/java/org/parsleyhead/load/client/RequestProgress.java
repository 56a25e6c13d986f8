package org.parsleyhead.load.client;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.parsleyhead.load.check.AnswerCheck;
import org.parsleyhead.load.check.AnswerProgress;
import org.parsleyhead.load.check.CallCheck;
import org.parsleyhead.load.check.EventSplitter;
import org.parsleyhead.load.check.Refusal;
import org.parsleyhead.load.plan.PlannedRequest;
import org.parsleyhead.load.result.Outcome;
import org.parsleyhead.load.settings.LoadSettings.Kind;
import org.parsleyhead.standin.engine.TokenSequence;
import org.parsleyhead.standin.ledger.ContentDigest;

/**
 * A request between its sending and its outcome.
 *
 * <p>Confined to one thread at a time. Times are readings of the monotonic clock in nanoseconds.
 */
final class RequestProgress {

  private static final int SUCCESS = 200;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private final PlannedRequest request;
  private final long dueTime;
  private final long sentTime;
  private final LongConsumer betweenTokens;
  private final AnswerProgress answer = new AnswerProgress();
  private final EventSplitter events = new EventSplitter();
  private final StringBuilder body = new StringBuilder();
  private int status;
  private boolean streamed;
  private long firstTime = -1;
  private long lastTokenTime;

  /**
   * Creates the progress of a request that is about to be sent.
   *
   * @param request the request
   * @param dueTime when it was due
   * @param sentTime when it was sent
   * @param betweenTokens is told the time between two parts of a stream
   */
  RequestProgress(PlannedRequest request, long dueTime, long sentTime, LongConsumer betweenTokens) {
    this.request = request;
    this.dueTime = dueTime;
    this.sentTime = sentTime;
    this.betweenTokens = betweenTokens;
  }

  /** Takes the head of the answer. */
  void head(int answerStatus, String contentType) {
    status = answerStatus;
    streamed = contentType != null && contentType.startsWith("text/event-stream");
  }

  /** Takes bytes of the answer. */
  void bytes(byte[] bytes, long time) {
    if (!streamed) {
      body.append(new String(bytes, StandardCharsets.UTF_8));
      return;
    }
    for (String data : events.accept(bytes)) {
      if (answer.event(data, request.model())) {
        part(time);
      }
    }
  }

  private void part(long time) {
    if (firstTime < 0) {
      firstTime = time;
    } else {
      betweenTokens.accept(time - lastTokenTime);
    }
    lastTokenTime = time;
  }

  /** Returns the outcome of an answer that ended without a failure of its connection. */
  Outcome completed(long time) {
    if (status != SUCCESS) {
      Refusal refusal = Refusal.read(body.toString());
      return outcome(Outcome.End.REFUSED, time, refusal.code(), refusal.run(), Optional.empty());
    }
    if (request.traffic().refusalExpected()) {
      Optional<String> problem = Optional.of("answered where a refusal was due");
      return outcome(Outcome.End.WRONG, time, "", "", problem);
    }
    return request.traffic().kind() == Kind.CALL ? callOutcome(time) : answerOutcome(time);
  }

  /** Returns the outcome of a request whose connection failed. */
  Outcome failed(Throwable cause, long time) {
    String code = cause.getClass().getSimpleName();
    return outcome(
        Outcome.End.FAILED, time, code, "", Optional.of(String.valueOf(cause.getMessage())));
  }

  private Outcome callOutcome(long time) {
    Optional<String> problem = CallCheck.problem(request, body.toString());
    Outcome.End end = problem.isPresent() ? Outcome.End.WRONG : Outcome.End.ANSWERED;
    return outcome(end, time, "", "", problem);
  }

  private Outcome answerOutcome(long time) {
    if (!streamed) {
      answer.whole(body.toString(), request.model());
    }
    if (answer.error().isPresent()) {
      Refusal refusal = Refusal.read(answer.error().get());
      return outcome(Outcome.End.FAILED, time, refusal.code(), refusal.run(), answer.error());
    }
    if (!answer.done()) {
      return outcome(Outcome.End.FAILED, time, "unfinished", "", Optional.of("no [DONE]"));
    }
    Optional<String> problem = AnswerCheck.problem(request, answer);
    Outcome.End end = problem.isPresent() ? Outcome.End.WRONG : Outcome.End.ANSWERED;
    return outcome(end, time, "", "", problem);
  }

  private Outcome outcome(
      Outcome.End end, long time, String code, String run, Optional<String> problem) {
    boolean call = request.traffic().kind() == Kind.CALL;
    String content = call ? request.content() : AnswerCheck.promptOf(request);
    return new Outcome(
        request.identifier(),
        request.attempt(),
        Outcome.Group.of(request.traffic()),
        end,
        request.model(),
        ContentDigest.of(content),
        request.target().toString(),
        request.traffic().idempotent(),
        request.traffic().refusalExpected(),
        System.currentTimeMillis() - (time - dueTime) / NANOSECONDS_PER_MILLISECOND,
        request.due().toNanos(),
        sentTime - dueTime,
        firstTime < 0 ? -1 : firstTime - dueTime,
        time - dueTime,
        call ? 0 : TokenSequence.promptTokens(content),
        AnswerCheck.countTokens(answer),
        call ? 0 : request.maximumTokens(),
        status,
        code,
        run,
        problem);
  }
}
