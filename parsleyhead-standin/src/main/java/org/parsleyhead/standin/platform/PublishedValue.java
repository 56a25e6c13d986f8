package org.parsleyhead.standin.platform;

/**
 * A value with its revision.
 *
 * <p>Immutable and thread-safe as long as nobody changes the bytes.
 */
public final class PublishedValue {

  private final long revision;
  private final byte[] bytes;

  /** Creates a value; the bytes are not changed afterwards. */
  public PublishedValue(long revision, byte[] bytes) {
    this.revision = revision;
    this.bytes = bytes;
  }

  /** Returns the revision, higher with each change. */
  public long revision() {
    return revision;
  }

  /** Returns the bytes; the caller does not change them. */
  public byte[] bytes() {
    return bytes;
  }
}
