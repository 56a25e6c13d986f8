package org.parsleyhead.load.client;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.parsleyhead.load.check.CallCheck;
import org.parsleyhead.load.check.CompletionCheck;
import org.parsleyhead.load.check.EventSplitter;
import org.parsleyhead.load.check.ReceivedCompletion;
import org.parsleyhead.load.check.Refusal;
import org.parsleyhead.load.plan.PlannedRequest;
import org.parsleyhead.load.result.Outcome;
import org.parsleyhead.load.settings.LoadSettings.Kind;
import org.parsleyhead.standin.engine.TokenSequence;
import org.parsleyhead.standin.ledger.ContentDigest;

/**
 * The state of a request from the time it is sent until its outcome is known.
 *
 * <p>Confined to one thread at a time. Times are readings of the monotonic clock in nanoseconds.
 */
final class RequestProgress {

  private static final int STATUS_OK = 200;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private final PlannedRequest request;
  private final long dueTime;
  private final long sentTime;
  private final LongConsumer interTokenLatencies;
  private final ReceivedCompletion completion = new ReceivedCompletion();
  private final EventSplitter events = new EventSplitter();
  private final StringBuilder body = new StringBuilder();
  private int status;
  private boolean streamed;
  private long firstTokenTime = -1;
  private long lastTokenTime;

  /**
   * Creates the state of a request that is about to be sent.
   *
   * @param request the request
   * @param dueTime the scheduled time
   * @param sentTime the time of sending
   * @param interTokenLatencies receives the times between parts of a streamed response
   */
  RequestProgress(
      PlannedRequest request, long dueTime, long sentTime, LongConsumer interTokenLatencies) {
    this.request = request;
    this.dueTime = dueTime;
    this.sentTime = sentTime;
    this.interTokenLatencies = interTokenLatencies;
  }

  /** Receives the status and content type of the response. */
  void receiveHead(int responseStatus, String contentType) {
    status = responseStatus;
    streamed = contentType != null && contentType.startsWith("text/event-stream");
  }

  /** Receives bytes of the response body. */
  void receiveBody(byte[] bytes, long time) {
    if (!streamed) {
      body.append(new String(bytes, StandardCharsets.UTF_8));
      return;
    }
    for (String data : events.accept(bytes)) {
      if (completion.acceptEvent(data, request.model())) {
        recordToken(time);
      }
    }
  }

  private void recordToken(long time) {
    if (firstTokenTime < 0) {
      firstTokenTime = time;
    } else {
      interTokenLatencies.accept(time - lastTokenTime);
    }
    lastTokenTime = time;
  }

  /** Returns the outcome of a request whose response was received to its end. */
  Outcome completedOutcome(long time) {
    if (status != STATUS_OK) {
      Refusal refusal = Refusal.read(body.toString());
      return outcome(
          Outcome.RequestResult.REFUSED, time, refusal.code(), refusal.run(), Optional.empty());
    }
    if (request.traffic().refusalExpected()) {
      Optional<String> problem = Optional.of("answered where a refusal was due");
      return outcome(Outcome.RequestResult.WRONG, time, "", "", problem);
    }
    return request.traffic().kind() == Kind.CALL ? callOutcome(time) : completionOutcome(time);
  }

  /** Returns the outcome of a request whose response could not be received to its end. */
  Outcome failedOutcome(Throwable cause, long time) {
    String code = cause.getClass().getSimpleName();
    return outcome(
        Outcome.RequestResult.FAILED,
        time,
        code,
        "",
        Optional.of(String.valueOf(cause.getMessage())));
  }

  private Outcome callOutcome(long time) {
    Optional<String> problem = CallCheck.findProblem(request, body.toString());
    Outcome.RequestResult result =
        problem.isPresent() ? Outcome.RequestResult.WRONG : Outcome.RequestResult.ANSWERED;
    return outcome(result, time, "", "", problem);
  }

  private Outcome completionOutcome(long time) {
    if (!streamed) {
      completion.acceptBody(body.toString(), request.model());
    }
    if (completion.error().isPresent()) {
      Refusal refusal = Refusal.read(completion.error().get());
      return outcome(
          Outcome.RequestResult.FAILED, time, refusal.code(), refusal.run(), completion.error());
    }
    if (!completion.isComplete()) {
      return outcome(
          Outcome.RequestResult.FAILED, time, "unfinished", "", Optional.of("no [DONE]"));
    }
    Optional<String> problem = CompletionCheck.findProblem(request, completion);
    Outcome.RequestResult result =
        problem.isPresent() ? Outcome.RequestResult.WRONG : Outcome.RequestResult.ANSWERED;
    return outcome(result, time, "", "", problem);
  }

  private Outcome outcome(
      Outcome.RequestResult result, long time, String code, String run, Optional<String> problem) {
    boolean call = request.traffic().kind() == Kind.CALL;
    String content = call ? request.content() : CompletionCheck.renderPrompt(request);
    return new Outcome(
        request.identifier(),
        request.attempt(),
        Outcome.Group.of(request.traffic()),
        result,
        request.model(),
        ContentDigest.of(content),
        request.target().toString(),
        request.traffic().idempotent(),
        request.traffic().refusalExpected(),
        System.currentTimeMillis() - (time - dueTime) / NANOSECONDS_PER_MILLISECOND,
        request.due().toNanos(),
        sentTime - dueTime,
        firstTokenTime < 0 ? -1 : firstTokenTime - dueTime,
        time - dueTime,
        call ? 0 : TokenSequence.promptTokens(content),
        CompletionCheck.countTokens(completion),
        call ? 0 : request.maximumTokens(),
        status,
        code,
        run,
        problem);
  }
}
