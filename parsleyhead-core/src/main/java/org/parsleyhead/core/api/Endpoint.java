package org.parsleyhead.core.api;

/**
 * A TCP endpoint: an IP address and a port.
 *
 * <p>Immutable and thread-safe.
 *
 * @param address the IP address in text form
 * @param port the port
 */
public record Endpoint(String address, int port) {

  private static final int MAXIMUM_PORT = 65_535;

  /**
   * Validates the components.
   *
   * @throws InvalidValueException if the address is not a valid name or the port is out of range
   */
  public Endpoint {
    Preconditions.requireName(address, "address");
    Preconditions.require(
        port > 0 && port <= MAXIMUM_PORT, "port", "must be between 1 and " + MAXIMUM_PORT);
  }

  /**
   * Parses {@code address:port}.
   *
   * @throws InvalidValueException if the text has another form
   */
  public static Endpoint parse(String text) {
    Preconditions.requireNonNull(text, "endpoint");
    int separator = text.lastIndexOf(':');
    Preconditions.require(separator > 0, "endpoint", "must have the form address:port");
    String port = text.substring(separator + 1);
    Preconditions.require(
        port.matches("[0-9]{1,5}"), "endpoint", "must have the form address:port");
    return new Endpoint(text.substring(0, separator), Integer.parseInt(port));
  }

  @Override
  public String toString() {
    return address + ":" + port;
  }
}
