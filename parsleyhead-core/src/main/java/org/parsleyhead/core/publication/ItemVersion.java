package org.parsleyhead.core.publication;

/**
 * The version that the value of an item states itself. Unlike its revision, it is not assigned by
 * the store and does not go back when the store is restored from a copy.
 *
 * <p>Immutable and thread-safe.
 *
 * @param major the version number, or the start time of a run in milliseconds since 1970
 * @param minor the number of an announcement within a run; otherwise 0
 */
public record ItemVersion(long major, long minor) implements Comparable<ItemVersion> {

  @Override
  public int compareTo(ItemVersion other) {
    int byMajor = Long.compare(major, other.major);
    return byMajor != 0 ? byMajor : Long.compare(minor, other.minor);
  }
}
