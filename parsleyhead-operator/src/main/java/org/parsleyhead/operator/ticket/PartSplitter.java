package org.parsleyhead.operator.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import org.parsleyhead.operator.OperatorException;

/**
 * Splits a list into parts that fit one value each, in order.
 *
 * <p>Immutable and thread-safe, without input or output.
 *
 * @param maximumBytes the longest value, in bytes
 */
record PartSplitter(int maximumBytes) {

  /** Room for the fields of a part besides its list, in bytes. */
  private static final int ENVELOPE_BYTES = 128;

  private static final int SEPARATOR_BYTES = 1;

  /**
   * Splits a list; the result has one part at least.
   *
   * @throws OperatorException if one element alone does not fit
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
          size + " bytes do not fit one value of " + maximumBytes + " bytes: " + element);
    }
  }
}
