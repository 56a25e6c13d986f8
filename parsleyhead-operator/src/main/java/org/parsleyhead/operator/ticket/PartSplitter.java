package org.parsleyhead.operator.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import org.parsleyhead.operator.OperatorException;

/**
 * Splits a list, in order, into parts that each fit in one published value.
 *
 * <p>Immutable and thread-safe, without input or output.
 *
 * @param maximumBytes the maximum size of a value, in bytes
 */
record PartSplitter(int maximumBytes) {

  /** Reserved for the fields of a part besides its list. */
  private static final int ENVELOPE_BYTES = 128;

  private static final int SEPARATOR_BYTES = 1;

  /**
   * Splits a list; the result has at least one part.
   *
   * @throws OperatorException if a single element does not fit in a value
   */
  <T> List<List<T>> split(List<T> elements, ToIntFunction<T> sizeInBytes) {
    List<List<T>> parts = new ArrayList<>();
    List<T> part = new ArrayList<>();
    long used = ENVELOPE_BYTES;
    for (T element : elements) {
      int size = sizeInBytes.applyAsInt(element) + SEPARATOR_BYTES;
      requireFit(element, size);
      if (used + size > maximumBytes) {
        parts.add(List.copyOf(part));
        part.clear();
        used = ENVELOPE_BYTES;
      }
      part.add(element);
      used += size;
    }
    parts.add(List.copyOf(part));
    return List.copyOf(parts);
  }

  private void requireFit(Object element, int size) {
    if (ENVELOPE_BYTES + size > maximumBytes) {
      throw new OperatorException(
          OperatorException.ITEM_TOO_LARGE,
          size + " bytes do not fit in a value of " + maximumBytes + " bytes: " + element);
    }
  }
}
