package org.parsleyhead.entry.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.codec.openai.EventStreamSplitter;
import org.parsleyhead.codec.openai.StreamChunk;
import org.parsleyhead.codec.openai.StreamChunkParser;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.request.FailureStage;
import org.parsleyhead.entry.callers.Exchange;

/**
 * Relays a completion stream event by event.
 *
 * <p>Mutable. Confined to the event loop of the caller's channel. Only complete events of the
 * requested adapter and version are relayed, and each token only once. The stream is complete only
 * after its last event. The upstream must confirm the token from which it resumes a stream.
 */
final class StreamRelay implements ResponseRelay {

  static final String RESUME_FROM_HEADER = "Resume-From";

  private final Exchange exchange;
  private final AdapterReference adapter;
  private final int resumeFrom;
  private final long promptTokens;
  private final AttemptReporter reporter;
  private final EventStreamSplitter splitter = new EventStreamSplitter();
  private Optional<BufferedRelay> errorRelay = Optional.empty();
  private HttpHeaders headers;
  private long totalTokens;

  StreamRelay(Exchange exchange, AdapterReference adapter, AttemptReporter reporter) {
    this.exchange = exchange;
    this.adapter = adapter;
    this.resumeFrom = exchange.tokensSent();
    this.promptTokens = exchange.request().description().modelCall().orElseThrow().promptTokens();
    this.reporter = reporter;
  }

  @Override
  public void onHead(int status, HttpHeaders received) {
    headers = received;
    if (status != BufferedRelay.STATUS_OK) {
      errorRelay = Optional.of(new BufferedRelay(exchange, Optional.of(adapter), reporter));
      errorRelay.get().onHead(status, received);
    } else if (resumeFrom > 0
        && !Integer.toString(resumeFrom).equals(received.get(RESUME_FROM_HEADER))) {
      reporter.failed(FailureStage.AFTER_WRITE, "the upstream does not resume the stream");
    }
  }

  @Override
  public void onPart(byte[] bytes) {
    if (errorRelay.isPresent()) {
      errorRelay.get().onPart(bytes);
      return;
    }
    try {
      for (byte[] event : splitter.add(bytes)) {
        if (reporter.isActive()) {
          relayEvent(event, StreamChunkParser.parse(event));
        }
      }
      exchange.flush();
    } catch (CodecException exception) {
      reporter.failed(FailureStage.AFTER_WRITE, exception.getMessage());
    }
  }

  @Override
  public void onEnd() {
    if (errorRelay.isPresent()) {
      errorRelay.get().onEnd();
    } else {
      reporter.failed(FailureStage.AFTER_WRITE, "the stream ended before its last event");
    }
  }

  @Override
  public void onFailure(FailureStage stage, String reason) {
    reporter.failed(stage, reason);
  }

  private void relayEvent(byte[] event, StreamChunk chunk) {
    if (chunk.model().filter(model -> !model.equals(adapter.text())).isPresent()) {
      reporter.failed(FailureStage.AFTER_WRITE, "the answer comes from another adapter");
      return;
    }
    switch (chunk.kind()) {
      case ERROR -> reporter.failed(FailureStage.AFTER_WRITE, "the engine reported an error");
      case USAGE -> {
        totalTokens = chunk.totalTokens();
        if (exchange.request().usageRequested()) {
          write(event, 0);
        }
      }
      case CONTENT -> write(event, 1);
      case DONE -> {
        write(event, 0);
        exchange.endResponse();
        reporter.finished(totalTokens > 0 ? totalTokens : promptTokens + exchange.tokensSent());
      }
      case OPENING -> {
        if (resumeFrom == 0) {
          write(event, 0);
        }
      }
      default -> write(event, 0);
    }
  }

  private void write(byte[] event, int tokens) {
    exchange.startResponse(BufferedRelay.STATUS_OK, headers);
    reporter.started();
    if (!exchange.writePart(event, tokens)) {
      reporter.callerTooSlow();
    }
  }
}
