package org.parsleyhead.entry.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;
import org.parsleyhead.entry.callers.Exchange;

/**
 * Hands what the HTTP client tells of one attempt to its relay, on the caller's event loop.
 *
 * <p>Called by one thread at a time, as the library promises.
 */
final class AttemptHandler implements AsyncHandler<Void> {

  private final Exchange exchange;
  private final AnswerRelay relay;
  private volatile boolean written;
  private int status;

  AttemptHandler(Exchange exchange, AnswerRelay relay) {
    this.exchange = exchange;
    this.relay = relay;
  }

  @Override
  public void onRequestSend(NettyRequest request) {
    written = true;
  }

  @Override
  public State onStatusReceived(HttpResponseStatus received) {
    status = received.getStatusCode();
    return State.CONTINUE;
  }

  @Override
  public State onHeadersReceived(HttpHeaders headers) {
    int receivedStatus = status;
    HttpHeaders copy = headers.copy();
    exchange.execute(() -> relay.head(receivedStatus, copy));
    return State.CONTINUE;
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart part) {
    byte[] bytes = part.getBodyPartBytes();
    if (bytes.length > 0) {
      exchange.execute(() -> relay.part(bytes));
    }
    return State.CONTINUE;
  }

  @Override
  public void onThrowable(Throwable cause) {
    boolean mayHaveArrived = written;
    String reason = "the connection to the upstream failed: " + cause.getClass().getSimpleName();
    exchange.execute(() -> relay.failed(mayHaveArrived, reason));
  }

  @Override
  public Void onCompleted() {
    exchange.execute(relay::end);
    return null;
  }
}
