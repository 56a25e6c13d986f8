package org.parsleyhead.standin.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.standin.StandinException;

/**
 * A received HTTP request with its complete body.
 *
 * <p>Immutable and thread-safe, provided that the body is never modified.
 */
public final class HttpRequestMessage {

  private static final String MAXIMUM_LONG_DIGITS = Long.toString(Long.MAX_VALUE);

  private final String method;
  private final String path;
  private final Map<String, String> query;
  private final List<HeaderField> headers;
  private final byte[] body;

  /**
   * Creates a request.
   *
   * @param method the method in upper case
   * @param path the decoded path without the query
   * @param query the first value of each query parameter
   * @param headers all header fields in the order of receipt
   * @param body the body, which the caller must not modify afterwards
   */
  public HttpRequestMessage(
      String method,
      String path,
      Map<String, String> query,
      List<HeaderField> headers,
      byte[] body) {
    this.method = method;
    this.path = path;
    this.query = Map.copyOf(query);
    this.headers = List.copyOf(headers);
    this.body = body;
  }

  /** Returns the method in upper case. */
  public String method() {
    return method;
  }

  /** Returns the path without the query. */
  public String path() {
    return path;
  }

  /** Returns whether this request has a method and a path. */
  public boolean hasMethodAndPath(String expectedMethod, String expectedPath) {
    return method.equals(expectedMethod) && path.equals(expectedPath);
  }

  /**
   * Returns the rest of the path after a prefix; empty if the path does not start with the prefix.
   */
  public Optional<String> pathAfterPrefix(String prefix) {
    return path.startsWith(prefix)
        ? Optional.of(path.substring(prefix.length()))
        : Optional.empty();
  }

  /** Returns the value of a query parameter. */
  public Optional<String> query(String name) {
    return Optional.ofNullable(query.get(name));
  }

  /**
   * Returns the value of a non-negative integer query parameter, or a default if it is absent.
   *
   * @throws StandinException if the value is not a non-negative integer in the range of {@code
   *     long}
   */
  public long queryNumber(String name, long defaultValue) {
    return query(name).map(text -> parseNumber(name, text)).orElse(defaultValue);
  }

  /** Returns all header fields in the order of receipt. */
  public List<HeaderField> headers() {
    return headers;
  }

  /** Returns the first value of a header; the name is case-insensitive. */
  public Optional<String> header(String name) {
    return headers.stream()
        .filter(field -> field.name().equalsIgnoreCase(name))
        .map(HeaderField::value)
        .findFirst();
  }

  /**
   * Returns the first value of a non-negative integer header.
   *
   * @throws StandinException if the value is not a non-negative integer in the range of {@code
   *     long}
   */
  public Optional<Long> headerNumber(String name) {
    return header(name).map(text -> parseNumber(name, text));
  }

  /** Returns the body; the caller must not modify it. */
  public byte[] body() {
    return body;
  }

  /** Returns the body decoded as UTF-8. */
  public String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }

  private static long parseNumber(String name, String text) {
    if (!text.matches("[0-9]{1,19}")
        || text.compareTo(MAXIMUM_LONG_DIGITS) > 0 && text.length() == 19) {
      throw new StandinException(StandinException.BAD_REQUEST, name + " must be a whole number");
    }
    return Long.parseLong(text);
  }
}
