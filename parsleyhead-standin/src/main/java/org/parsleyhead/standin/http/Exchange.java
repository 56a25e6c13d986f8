package org.parsleyhead.standin.http;

import java.util.List;

/**
 * One request that waits for its answer: either one whole answer, or a head, pieces and an end.
 *
 * <p>Implementations are thread-safe. What is written after the connection closed is dropped.
 */
public interface Exchange {

  /** Sends a whole answer. */
  void answer(HttpAnswer answer);

  /** Sends the head of an answer whose pieces follow. */
  void begin(int status, List<HeaderField> headers);

  /** Sends a piece of an answer that was begun. */
  void send(String piece);

  /** Ends an answer that was begun. */
  void end();

  /** Resets the connection at once, also in mid-answer. */
  void reset();

  /** Has an action run when the connection closes; runs at once if it is closed already. */
  void whenClosed(Runnable action);
}
