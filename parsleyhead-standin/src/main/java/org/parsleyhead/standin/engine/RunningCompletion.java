package org.parsleyhead.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.parsleyhead.standin.http.Exchange;
import org.parsleyhead.standin.http.HeaderField;
import org.parsleyhead.standin.http.HttpRequestMessage;
import org.parsleyhead.standin.http.HttpResponseMessage;
import org.parsleyhead.standin.ledger.ContentDigest;
import org.parsleyhead.standin.ledger.LedgerEntry;

/**
 * A completion between its request and the end of its answer.
 *
 * <p>Confined to the duty of its engine, apart from its creation. The head of a stream is sent with
 * its first event, so that a refusal still has its own status.
 */
final class RunningCompletion {

  private static final int STATUS_OK = 200;
  private static final String REQUEST_ID_HEADER = "X-Request-Id";
  private static final String RESUME_HEADER = "Resume-From";

  private final String upstream;
  private final HttpRequestMessage call;
  private final Exchange exchange;
  private final CompletionRequest request;
  private final String identifier;
  private final CompletionWriter writer;
  private final long arrivalMilliseconds;
  private boolean streamStarted;

  RunningCompletion(
      String upstream, HttpRequestMessage call, Exchange exchange, CompletionRequest request) {
    this.upstream = upstream;
    this.call = call;
    this.exchange = exchange;
    this.request = request;
    this.identifier = call.header(REQUEST_ID_HEADER).orElseGet(() -> UUID.randomUUID().toString());
    this.arrivalMilliseconds = System.currentTimeMillis();
    this.writer = new CompletionWriter(identifier, arrivalMilliseconds / 1000, request);
  }

  Exchange exchange() {
    return exchange;
  }

  void sendToken(int number) {
    if (request.streamed()) {
      beginStream();
      exchange.sendChunk(writer.tokenEvent(number));
    }
  }

  void finish(int length, boolean natural) {
    if (request.streamed()) {
      beginStream();
      exchange.sendChunk(writer.finalEvents(length, natural));
      exchange.endStream();
    } else {
      exchange.respond(
          HttpResponseMessage.json(200, writer.completeResponse(length, natural))
              .withHeader(REQUEST_ID_HEADER, identifier));
    }
  }

  void refuse(HttpResponseMessage answer) {
    exchange.respond(answer.withHeader(REQUEST_ID_HEADER, identifier));
  }

  LedgerEntry toLedgerEntry(String outcome, int nextToken, String note) {
    return new LedgerEntry(
        upstream,
        "completion",
        call.header(REQUEST_ID_HEADER),
        request.model(),
        call.method() + " " + call.path(),
        call.header("Idempotency-Key"),
        ContentDigest.of(request.prompt()),
        call.headers(),
        arrivalMilliseconds,
        System.currentTimeMillis(),
        outcome,
        request.promptTokens(),
        request.resumeFrom(),
        Math.max(0, nextToken - request.resumeFrom()),
        note);
  }

  private void beginStream() {
    if (!streamStarted) {
      streamStarted = true;
      List<HeaderField> headers = new ArrayList<>();
      headers.add(new HeaderField("Content-Type", "text/event-stream; charset=utf-8"));
      headers.add(new HeaderField("Cache-Control", "no-cache"));
      headers.add(new HeaderField(REQUEST_ID_HEADER, identifier));
      if (request.resumeFrom() > 0) {
        headers.add(new HeaderField(RESUME_HEADER, Integer.toString(request.resumeFrom())));
      }
      exchange.beginStream(STATUS_OK, headers);
    }
  }
}
