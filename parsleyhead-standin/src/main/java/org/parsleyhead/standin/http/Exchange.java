package org.parsleyhead.standin.http;

import java.util.List;

/**
 * One request that waits for its answer: either one whole answer, or a head, pieces and an end.
 *
 * <p>Implementations are thread-safe. What is written after the connection closed is dropped.
 */
public interface Exchange {

  /** Sends a whole answer. */
  void respond(HttpResponseMessage answer);

  /** Sends the head of an answer whose pieces follow. */
  void beginStream(int status, List<HeaderField> headers);

  /** Sends a piece of an answer that was begun. */
  void sendChunk(String piece);

  /** Ends an answer that was begun. */
  void endStream();

  /** Resets the connection at once, also in mid-answer. */
  void reset();

  /** Has an action run when the connection closes; runs at once if it is closed already. */
  void onConnectionClosed(Runnable action);
}
