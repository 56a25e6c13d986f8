package org.parsleyhead.core.api;

/**
 * A version of an adapter, in the form that callers use: {@code adapter@version}.
 *
 * <p>Immutable and thread-safe. Engines identify the adapter by {@link #text()}, so versions of one
 * adapter are distinct to them.
 *
 * @param adapter the adapter
 * @param version the version, at least 1
 */
public record AdapterReference(AdapterName adapter, int version)
    implements Comparable<AdapterReference> {

  private static final char SEPARATOR = '@';

  /**
   * Validates the components.
   *
   * @throws InvalidValueException if the adapter is null or the version is not positive
   */
  public AdapterReference {
    Preconditions.requireNonNull(adapter, "adapter");
    Preconditions.requirePositive(version, "adapterVersion");
  }

  /**
   * Parses the form that callers use.
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

  /** Returns the form that callers and engines use. */
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
