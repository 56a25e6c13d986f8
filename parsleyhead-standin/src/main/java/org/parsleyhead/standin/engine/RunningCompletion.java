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
 * A completion that has been requested and whose response is not yet complete.
 *
 * <p>Confined to the duty thread of its engine, except for its creation. The head of a streamed
 * response is sent with the first event, so that a refusal can still have its own status.
 */
final class RunningCompletion {

  private static final int STATUS_OK = 200;
  private static final String REQUEST_ID_HEADER = "X-Request-Id";
  private static final String RESUME_HEADER = "Resume-From";

  private final String upstream;
  private final HttpRequestMessage message;
  private final Exchange exchange;
  private final CompletionRequest request;
  private final String identifier;
  private final CompletionWriter writer;
  private final long arrivalMilliseconds;
  private boolean streamStarted;

  RunningCompletion(
      String upstream, HttpRequestMessage message, Exchange exchange, CompletionRequest request) {
    this.upstream = upstream;
    this.message = message;
    this.exchange = exchange;
    this.request = request;
    this.identifier =
        message.header(REQUEST_ID_HEADER).orElseGet(() -> UUID.randomUUID().toString());
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

  void finish(int length, boolean endsNaturally) {
    if (request.streamed()) {
      beginStream();
      exchange.sendChunk(writer.finalEvents(length, endsNaturally));
      exchange.endStream();
    } else {
      exchange.respond(
          HttpResponseMessage.json(200, writer.completeResponse(length, endsNaturally))
              .withHeader(REQUEST_ID_HEADER, identifier));
    }
  }

  void refuse(HttpResponseMessage response) {
    exchange.respond(response.withHeader(REQUEST_ID_HEADER, identifier));
  }

  LedgerEntry toLedgerEntry(String outcome, int nextToken, String note) {
    return new LedgerEntry(
        upstream,
        "completion",
        message.header(REQUEST_ID_HEADER),
        request.model(),
        message.method() + " " + message.path(),
        message.header("Idempotency-Key"),
        ContentDigest.of(request.prompt()),
        message.headers(),
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
