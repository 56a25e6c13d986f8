package org.parsleyhead.gateway.upstreams;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events after complete events and tracks the last identifier.
 *
 * <p>Confined to one thread. Lines end with a line feed, with or without a preceding carriage
 * return.
 */
final class ServerSentEventSplitter {

  private static final String IDENTIFIER_FIELD = "id:";
  private static final int INITIAL_BUFFER_BYTES = 512;
  private static final byte[] NO_EVENTS = new byte[0];

  private byte[] pending = new byte[INITIAL_BUFFER_BYTES];
  private int pendingBytes;
  private Optional<String> lastIdentifier = Optional.empty();

  /**
   * Appends bytes and returns all events that are now complete; empty if there are none. Only the
   * new bytes are searched, so that an event may arrive in any number of pieces.
   */
  byte[] split(byte[] bytes) {
    int searchedBytes = pendingBytes;
    append(bytes);
    int end = endOfLastEvent(searchedBytes);
    if (end == 0) {
      return NO_EVENTS;
    }
    byte[] complete = Arrays.copyOf(pending, end);
    pendingBytes -= end;
    pending = Arrays.copyOfRange(pending, end, end + Math.max(INITIAL_BUFFER_BYTES, pendingBytes));
    updateLastIdentifier(complete);
    return complete;
  }

  private void append(byte[] bytes) {
    int needed = pendingBytes + bytes.length;
    if (needed > pending.length) {
      pending = Arrays.copyOf(pending, Math.max(needed, 2 * pending.length));
    }
    System.arraycopy(bytes, 0, pending, pendingBytes, bytes.length);
    pendingBytes = needed;
  }

  /** Returns the identifier of the last complete event that had one. */
  Optional<String> lastIdentifier() {
    return lastIdentifier;
  }

  /** Returns the number of buffered bytes of an incomplete event; 0 if there is none. */
  int pendingBytes() {
    return pendingBytes;
  }

  private int endOfLastEvent(int searchedBytes) {
    for (int index = pendingBytes - 1; index >= Math.max(1, searchedBytes); index--) {
      if (pending[index] == '\n' && endsBlankLine(index)) {
        return index + 1;
      }
    }
    return 0;
  }

  private boolean endsBlankLine(int lineFeed) {
    int before = pending[lineFeed - 1] == '\r' ? lineFeed - 2 : lineFeed - 1;
    return before >= 0 && pending[before] == '\n';
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
