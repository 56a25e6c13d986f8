package org.parsleyhead.standin.http;

import java.util.List;

/**
 * A request that awaits its response, which is sent either at once or as a stream of chunks.
 *
 * <p>Implementations are thread-safe. Anything sent after the connection closed is dropped.
 */
public interface Exchange {

  /** Sends a complete response. */
  void respond(HttpResponseMessage response);

  /** Sends the head of a complete response and the first bytes of its body. */
  void beginResponse(HttpResponseMessage response, int length);

  /** Sends the rest of a complete response, of whose body some bytes have been sent. */
  void endResponse(HttpResponseMessage response, int sentLength);

  /** Sends the head of a streamed response. */
  void beginStream(int status, List<HeaderField> headers);

  /** Sends a chunk of a streamed response. */
  void sendChunk(String chunk);

  /** Ends a streamed response. */
  void endStream();

  /** Resets the connection immediately, even in the middle of a response. */
  void reset();

  /** Registers an action that runs when the connection closes, or immediately if it is closed. */
  void onConnectionClosed(Runnable action);
}
