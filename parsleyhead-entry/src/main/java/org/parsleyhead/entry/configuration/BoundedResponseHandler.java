package org.parsleyhead.entry.configuration;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.asynchttpclient.AsyncCompletionHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.Response;

/**
 * Collects one response up to a size limit.
 *
 * <p>Invokes its callback exactly once, with the response or a failure.
 *
 * <p>Used by one thread of the client at a time.
 */
final class BoundedResponseHandler extends AsyncCompletionHandler<Void> {

  private static final String REVISION_HEADER = "Revision";

  private final int maximumBytes;
  private final Consumer<ServiceResponse> callback;
  private final AtomicBoolean completed = new AtomicBoolean();
  private int bytes;

  BoundedResponseHandler(int maximumBytes, Consumer<ServiceResponse> callback) {
    this.maximumBytes = maximumBytes;
    this.callback = callback;
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart part) throws Exception {
    bytes += part.length();
    if (bytes > maximumBytes) {
      throw new ConfigurationReaderException(
          ConfigurationReaderException.RESPONSE_TOO_LARGE,
          "response has at least " + bytes + " bytes");
    }
    return super.onBodyPartReceived(part);
  }

  @Override
  public Void onCompleted(Response response) {
    byte[] body = response.getResponseBodyAsBytes();
    long revision = parseRevision(response.getHeader(REVISION_HEADER));
    complete(new ServiceResponse(response.getStatusCode(), revision, body, Optional.empty()));
    return null;
  }

  @Override
  public void onThrowable(Throwable failure) {
    complete(ServiceResponse.failed(failure));
  }

  private void complete(ServiceResponse result) {
    if (completed.compareAndSet(false, true)) {
      callback.accept(result);
    }
  }

  private static long parseRevision(String revision) {
    return revision != null && revision.matches("[0-9]{1,18}") ? Long.parseLong(revision) : 0;
  }
}
