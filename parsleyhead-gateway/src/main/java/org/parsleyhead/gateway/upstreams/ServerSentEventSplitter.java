package org.parsleyhead.gateway.upstreams;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events after complete events and tracks the last identifier.
 *
 * <p>Confined to one thread. Lines end with a line feed, with or without a preceding carriage
 * return.
 */
final class ServerSentEventSplitter {

  private static final String IDENTIFIER_FIELD = "id:";

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private Optional<String> lastIdentifier = Optional.empty();

  /** Appends bytes and returns all events that are now complete; empty if there are none. */
  byte[] split(byte[] bytes) {
    pending.writeBytes(bytes);
    byte[] buffered = pending.toByteArray();
    int end = endOfLastEvent(buffered);
    if (end == 0) {
      return new byte[0];
    }
    byte[] complete = java.util.Arrays.copyOf(buffered, end);
    pending.reset();
    pending.write(buffered, end, buffered.length - end);
    updateLastIdentifier(complete);
    return complete;
  }

  /** Returns the identifier of the last complete event that had one. */
  Optional<String> lastIdentifier() {
    return lastIdentifier;
  }

  /** Returns whether an incomplete event is buffered. */
  boolean hasPartialEvent() {
    return pending.size() > 0;
  }

  private static int endOfLastEvent(byte[] bytes) {
    for (int index = bytes.length - 1; index > 0; index--) {
      if (bytes[index] == '\n' && endsBlankLine(bytes, index)) {
        return index + 1;
      }
    }
    return 0;
  }

  private static boolean endsBlankLine(byte[] bytes, int lineFeed) {
    int before = bytes[lineFeed - 1] == '\r' ? lineFeed - 2 : lineFeed - 1;
    return before >= 0 && bytes[before] == '\n';
  }

  private void updateLastIdentifier(byte[] events) {
    String text = new String(events, StandardCharsets.ISO_8859_1);
    int at =
        text.startsWith(IDENTIFIER_FIELD)
            ? Math.max(0, text.lastIndexOf("\n" + IDENTIFIER_FIELD) + 1)
            : text.lastIndexOf("\n" + IDENTIFIER_FIELD) + 1;
    if (at == 0 && !text.startsWith(IDENTIFIER_FIELD)) {
      return;
    }
    int end = text.indexOf('\n', at);
    lastIdentifier = Optional.of(text.substring(at + IDENTIFIER_FIELD.length(), end).strip());
  }
}
