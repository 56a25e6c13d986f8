package org.parsleyhead.entry.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.codec.openai.CompletionAnswer;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.request.FailureStage;
import org.parsleyhead.core.request.ModelCall;
import org.parsleyhead.entry.callers.Exchange;

/**
 * Passes on an answer in one piece, or an answer of a plain service.
 *
 * <p>Confined to the event loop of the caller's channel. The answer is held back until it is
 * complete, so that a failure before can be repaired; a long answer of a plain service is passed on
 * as it comes.
 */
final class WholeRelay implements AnswerRelay {

  static final int STATUS_OK = 200;

  private static final int STATUS_NOT_FOUND = 404;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int DEFAULT_BUFFERED_BYTES = 1 << 20;
  private static final int MAXIMUM_COMPLETION_BYTES = 16 << 20;

  private final Exchange exchange;
  private final Optional<AdapterReference> adapter;
  private final AttemptReport report;
  private final ByteArrayOutputStream held = new ByteArrayOutputStream();
  private int status;
  private HttpHeaders headers;
  private boolean passing;

  WholeRelay(Exchange exchange, Optional<AdapterReference> adapter, AttemptReport report) {
    this.exchange = exchange;
    this.adapter = adapter;
    this.report = report;
  }

  @Override
  public void head(int received, HttpHeaders receivedHeaders) {
    status = received;
    headers = receivedHeaders;
  }

  @Override
  public void part(byte[] bytes) {
    if (passing) {
      pass(bytes);
      return;
    }
    held.writeBytes(bytes);
    if (adapter.isEmpty() && held.size() > DEFAULT_BUFFERED_BYTES) {
      passing = true;
      exchange.begin(status, headers);
      report.started();
      pass(held.toByteArray());
      held.reset();
    } else if (held.size() > MAXIMUM_COMPLETION_BYTES) {
      report.failed(FailureStage.AFTER_WRITE, "the answer is too long");
    }
  }

  @Override
  public void end() {
    if (!report.isOpen()) {
      return;
    }
    if (passing) {
      exchange.end();
      report.finished(reservedTokens());
    } else if (adapter.isPresent()) {
      endCompletion(held.toByteArray());
    } else {
      answer(held.toByteArray(), reservedTokens());
    }
  }

  @Override
  public void failed(FailureStage stage, String reason) {
    report.failed(stage, reason);
  }

  private void endCompletion(byte[] body) {
    if (status == STATUS_NOT_FOUND) {
      report.failed(FailureStage.REFUSED_BY_UPSTREAM, "the engine does not have the adapter");
    } else if (status >= FIRST_SERVER_ERROR) {
      report.failed(FailureStage.AFTER_WRITE, "the engine answered with status " + status);
    } else if (status == STATUS_OK) {
      endGenerated(body);
    } else {
      answer(body, 0);
    }
  }

  private void endGenerated(byte[] body) {
    try {
      CompletionAnswer answer = CompletionAnswer.parse(body);
      String expected = adapter.orElseThrow().text();
      if (answer.model().filter(model -> !model.equals(expected)).isPresent()) {
        report.failed(FailureStage.AFTER_WRITE, "the answer comes from another adapter");
        return;
      }
      answer(body, answer.totalTokens().orElseGet(this::reservedTokens));
    } catch (CodecException exception) {
      report.failed(FailureStage.AFTER_WRITE, exception.getMessage());
    }
  }

  private void answer(byte[] body, long tokens) {
    exchange.answer(status, headers, body);
    report.finished(tokens);
  }

  private void pass(byte[] bytes) {
    if (!report.isOpen()) {
      return;
    }
    if (exchange.pass(bytes, 0)) {
      exchange.flush();
    } else {
      report.callerTooSlow();
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
