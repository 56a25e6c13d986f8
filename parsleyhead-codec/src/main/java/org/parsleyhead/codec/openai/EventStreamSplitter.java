package org.parsleyhead.codec.openai;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.codec.CodecException;

/**
 * Splits the bytes of a server-sent event stream into complete events.
 *
 * <p>Mutable and confined to one thread. An event is complete when the empty line that terminates
 * it was received; bytes of an incomplete event are buffered. Each event includes its terminating
 * empty line.
 */
public final class EventStreamSplitter {

  /** The maximum size of an event, in bytes. */
  public static final int MAXIMUM_EVENT_BYTES = 1 << 20;

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private boolean lineEmpty = true;

  /**
   * Adds bytes to the stream and returns the events that they complete.
   *
   * @throws CodecException if an incomplete event exceeds the maximum size
   */
  public List<byte[]> add(byte[] bytes) {
    List<byte[]> events = new ArrayList<>();
    for (byte next : bytes) {
      pending.write(next);
      if (next == '\n') {
        if (lineEmpty && pending.size() > 0) {
          events.add(pending.toByteArray());
          pending.reset();
        }
        lineEmpty = true;
      } else if (next != '\r') {
        lineEmpty = false;
      }
    }
    if (pending.size() > MAXIMUM_EVENT_BYTES) {
      throw new CodecException(CodecException.TOO_LARGE, "the event is too long");
    }
    return events;
  }
}
