package org.parsleyhead.entry.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.codec.openai.CompletionResponse;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.request.FailureStage;
import org.parsleyhead.core.request.ModelCall;
import org.parsleyhead.entry.callers.Exchange;

/**
 * Relays a completion response that is not streamed, or a response of a plain service.
 *
 * <p>Mutable. Confined to the event loop of the caller's channel. The response is buffered until it
 * is complete, so that an attempt that fails earlier can be retried. A response of a plain service
 * that exceeds the buffer limit is relayed part by part.
 */
final class BufferedRelay implements ResponseRelay {

  static final int STATUS_OK = 200;

  private static final int STATUS_NOT_FOUND = 404;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int MAXIMUM_BUFFERED_SERVICE_BYTES = 1 << 20;
  private static final int MAXIMUM_COMPLETION_BYTES = 16 << 20;

  private final Exchange exchange;
  private final Optional<AdapterReference> adapter;
  private final AttemptReporter reporter;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private int status;
  private HttpHeaders headers;
  private boolean streaming;

  BufferedRelay(Exchange exchange, Optional<AdapterReference> adapter, AttemptReporter reporter) {
    this.exchange = exchange;
    this.adapter = adapter;
    this.reporter = reporter;
  }

  @Override
  public void onHead(int received, HttpHeaders receivedHeaders) {
    status = received;
    headers = receivedHeaders;
  }

  @Override
  public void onPart(byte[] bytes) {
    if (streaming) {
      write(bytes);
      return;
    }
    buffer.writeBytes(bytes);
    if (adapter.isEmpty() && buffer.size() > MAXIMUM_BUFFERED_SERVICE_BYTES) {
      streaming = true;
      exchange.startResponse(status, headers);
      reporter.started();
      write(buffer.toByteArray());
      buffer.reset();
    } else if (buffer.size() > MAXIMUM_COMPLETION_BYTES) {
      reporter.failed(FailureStage.AFTER_WRITE, "the answer is too long");
    }
  }

  @Override
  public void onEnd() {
    if (!reporter.isActive()) {
      return;
    }
    if (streaming) {
      exchange.endResponse();
      reporter.finished(reservedTokens());
    } else if (adapter.isPresent()) {
      relayCompletion(buffer.toByteArray());
    } else {
      respond(buffer.toByteArray(), reservedTokens());
    }
  }

  @Override
  public void onFailure(FailureStage stage, String reason) {
    reporter.failed(stage, reason);
  }

  private void relayCompletion(byte[] body) {
    if (status == STATUS_NOT_FOUND) {
      reporter.failed(FailureStage.REFUSED_BY_UPSTREAM, "the engine does not have the adapter");
    } else if (status >= FIRST_SERVER_ERROR) {
      reporter.failed(FailureStage.AFTER_WRITE, "the engine answered with status " + status);
    } else if (status == STATUS_OK) {
      relaySuccessfulCompletion(body);
    } else {
      respond(body, 0);
    }
  }

  private void relaySuccessfulCompletion(byte[] body) {
    try {
      CompletionResponse response = CompletionResponse.parse(body);
      String expected = adapter.orElseThrow().text();
      if (response.model().filter(model -> !model.equals(expected)).isPresent()) {
        reporter.failed(FailureStage.AFTER_WRITE, "the answer comes from another adapter");
        return;
      }
      respond(body, response.totalTokens().orElseGet(this::reservedTokens));
    } catch (CodecException exception) {
      reporter.failed(FailureStage.AFTER_WRITE, exception.getMessage());
    }
  }

  private void respond(byte[] body, long tokens) {
    exchange.respond(status, headers, body);
    reporter.finished(tokens);
  }

  private void write(byte[] bytes) {
    if (!reporter.isActive()) {
      return;
    }
    if (exchange.writePart(bytes, 0)) {
      exchange.flush();
    } else {
      reporter.callerTooSlow();
    }
  }

  private long reservedTokens() {
    return exchange
        .request()
        .description()
        .modelCall()
        .filter(call -> adapter.isPresent())
        .map(ModelCall::totalTokens)
        .orElse(0L);
  }
}
