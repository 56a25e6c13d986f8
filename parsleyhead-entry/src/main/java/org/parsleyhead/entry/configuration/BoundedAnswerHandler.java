package org.parsleyhead.entry.configuration;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.asynchttpclient.AsyncCompletionHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.Response;

/**
 * Collects one answer up to a bound.
 *
 * <p>Used by one thread of the client at a time. The outcome is told exactly once.
 */
final class BoundedAnswerHandler extends AsyncCompletionHandler<Void> {

  private static final String REVISION = "Revision";

  private final int maximumBytes;
  private final Consumer<ServiceAnswer> outcome;
  private final AtomicBoolean told = new AtomicBoolean();
  private int bytes;

  BoundedAnswerHandler(int maximumBytes, Consumer<ServiceAnswer> outcome) {
    this.maximumBytes = maximumBytes;
    this.outcome = outcome;
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart part) throws Exception {
    bytes += part.length();
    if (bytes > maximumBytes) {
      throw new ConfigurationReaderException(
          ConfigurationReaderException.ANSWER_TOO_LARGE, "answer has over " + bytes + " bytes");
    }
    return super.onBodyPartReceived(part);
  }

  @Override
  public Void onCompleted(Response response) {
    byte[] body = response.getResponseBodyAsBytes();
    long revision = parse(response.getHeader(REVISION));
    tell(new ServiceAnswer(response.getStatusCode(), revision, body, Optional.empty()));
    return null;
  }

  @Override
  public void onThrowable(Throwable failure) {
    tell(ServiceAnswer.failed(failure));
  }

  private void tell(ServiceAnswer answer) {
    if (told.compareAndSet(false, true)) {
      outcome.accept(answer);
    }
  }

  private static long parse(String revision) {
    return revision != null && revision.matches("[0-9]{1,18}") ? Long.parseLong(revision) : 0;
  }
}
