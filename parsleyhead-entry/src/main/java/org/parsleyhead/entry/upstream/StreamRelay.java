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
 * Passes on a completion stream, event by event.
 *
 * <p>Confined to the event loop of the caller's channel. Only whole events of the right adapter and
 * version are passed, each token once; the stream is complete only with its last event. A resumed
 * stream must confirm where it goes on.
 */
final class StreamRelay implements AnswerRelay {

  static final String RESUME_FROM_HEADER = "Resume-From";

  private final Exchange exchange;
  private final AdapterReference adapter;
  private final int resumeFrom;
  private final long promptTokens;
  private final AttemptReport report;
  private final EventStreamSplitter splitter = new EventStreamSplitter();
  private Optional<WholeRelay> otherAnswer = Optional.empty();
  private HttpHeaders headers;
  private long totalTokens;

  StreamRelay(Exchange exchange, AdapterReference adapter, AttemptReport report) {
    this.exchange = exchange;
    this.adapter = adapter;
    this.resumeFrom = exchange.tokensPassed();
    this.promptTokens = exchange.request().description().modelCall().orElseThrow().promptTokens();
    this.report = report;
  }

  @Override
  public void head(int status, HttpHeaders received) {
    headers = received;
    if (status != WholeRelay.STATUS_OK) {
      otherAnswer = Optional.of(new WholeRelay(exchange, Optional.of(adapter), report));
      otherAnswer.get().head(status, received);
    } else if (resumeFrom > 0
        && !Integer.toString(resumeFrom).equals(received.get(RESUME_FROM_HEADER))) {
      report.failed(FailureStage.AFTER_WRITE, "the upstream does not resume the stream");
    }
  }

  @Override
  public void part(byte[] bytes) {
    if (otherAnswer.isPresent()) {
      otherAnswer.get().part(bytes);
      return;
    }
    try {
      for (byte[] event : splitter.add(bytes)) {
        if (report.isOpen()) {
          pass(event, StreamChunkParser.parse(event));
        }
      }
      exchange.flush();
    } catch (CodecException exception) {
      report.failed(FailureStage.AFTER_WRITE, exception.getMessage());
    }
  }

  @Override
  public void end() {
    if (otherAnswer.isPresent()) {
      otherAnswer.get().end();
    } else {
      report.failed(FailureStage.AFTER_WRITE, "the stream ended before its last event");
    }
  }

  @Override
  public void failed(FailureStage stage, String reason) {
    report.failed(stage, reason);
  }

  private void pass(byte[] event, StreamChunk chunk) {
    if (chunk.model().filter(model -> !model.equals(adapter.text())).isPresent()) {
      report.failed(FailureStage.AFTER_WRITE, "the answer comes from another adapter");
      return;
    }
    switch (chunk.kind()) {
      case ERROR -> report.failed(FailureStage.AFTER_WRITE, "the engine reported an error");
      case USAGE -> {
        totalTokens = chunk.totalTokens();
        if (exchange.request().usageRequested()) {
          write(event, 0);
        }
      }
      case CONTENT -> write(event, 1);
      case DONE -> {
        write(event, 0);
        exchange.end();
        report.finished(totalTokens > 0 ? totalTokens : promptTokens + exchange.tokensPassed());
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
    exchange.begin(WholeRelay.STATUS_OK, headers);
    report.started();
    if (!exchange.pass(event, tokens)) {
      report.callerTooSlow();
    }
  }
}
