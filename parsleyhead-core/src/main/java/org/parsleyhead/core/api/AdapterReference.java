package org.parsleyhead.core.api;

/**
 * One version of one adapter, as callers name it: {@code adapter@version}.
 *
 * <p>Immutable and thread-safe. Engines know the adapter under {@link #text()}, so two versions of
 * one adapter are never mistaken for each other.
 *
 * @param adapter the adapter
 * @param version the version, one or more
 */
public record AdapterReference(AdapterName adapter, int version)
    implements Comparable<AdapterReference> {

  private static final char SEPARATOR = '@';

  /**
   * Checks the parts.
   *
   * @throws InvalidValueException if the version is not positive
   */
  public AdapterReference {
    Preconditions.requireNonNull(adapter, "adapter");
    Preconditions.requirePositive(version, "adapterVersion");
  }

  /**
   * Parses the form that callers write.
   *
   * @throws InvalidValueException if the text is not of the form {@code adapter@version}
   */
  public static AdapterReference parse(String text) {
    Preconditions.requireNonNull(text, "model");
    int separator = text.lastIndexOf(SEPARATOR);
    Preconditions.require(separator > 0, "model", "must have the form adapter@version");
    String version = text.substring(separator + 1);
    Preconditions.require(
        version.matches("[1-9][0-9]{0,8}"), "model", "must end in a version number");
    return new AdapterReference(
        new AdapterName(text.substring(0, separator)), Integer.parseInt(version));
  }

  /** Returns the form that callers write and engines know. */
  public String text() {
    return adapter.text() + SEPARATOR + version;
  }

  @Override
  public int compareTo(AdapterReference other) {
    int byName = adapter.compareTo(other.adapter);
    return byName != 0 ? byName : Integer.compare(version, other.version);
  }

  @Override
  public String toString() {
    return text();
  }
}
