package org.parsleyhead.standin.platform;

/**
 * A published value with its revision.
 *
 * <p>Immutable and thread-safe, provided that the bytes are never modified.
 */
public final class PublishedValue {

  private final long revision;
  private final byte[] bytes;

  /** Creates a value; the caller must not modify the bytes afterwards. */
  public PublishedValue(long revision, byte[] bytes) {
    this.revision = revision;
    this.bytes = bytes;
  }

  /** Returns the revision, which increases with each change. */
  public long revision() {
    return revision;
  }

  /** Returns the bytes; the caller must not modify them. */
  public byte[] bytes() {
    return bytes;
  }
}
