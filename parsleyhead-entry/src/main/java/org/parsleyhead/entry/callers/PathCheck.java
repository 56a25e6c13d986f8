package org.parsleyhead.entry.callers;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.InvalidValueException;
import org.parsleyhead.core.api.Preconditions;

/**
 * Checks a request target, so that callers, routes and upstreams read the same path.
 *
 * <p>Stateless and thread-safe. Paths are not normalized: a path that two readers might take
 * differently is refused.
 */
final class PathCheck {

  private static final List<String> AMBIGUOUS_ENCODINGS = List.of("%2f", "%5c", "%2e", "%00");
  private static final Set<String> KEY_PARAMETERS =
      Set.of("key", "api_key", "api-key", "apikey", "access_token", "token");

  private PathCheck() {}

  /**
   * Returns the checked target.
   *
   * @throws InvalidValueException if the target is ambiguous or not in origin form
   */
  static Target check(String target, Optional<String> key) {
    Preconditions.require(target.startsWith("/"), "path", "must start with a slash");
    Preconditions.require(
        target.chars().allMatch(c -> c > ' ' && c < 127 && c != '\\' && c != '#'),
        "path",
        "must hold plain characters");
    int question = target.indexOf('?');
    String path = question < 0 ? target : target.substring(0, question);
    String lowerCase = path.toLowerCase(Locale.ROOT);
    Preconditions.require(
        AMBIGUOUS_ENCODINGS.stream().noneMatch(lowerCase::contains),
        "path",
        "must not hold encoded slashes, dots or zeros");
    Preconditions.require(!path.contains("//"), "path", "must not hold empty segments");
    for (String segment : path.split("/")) {
      Preconditions.require(
          !segment.equals(".") && !segment.equals(".."), "path", "must not hold dot segments");
    }
    Preconditions.require(!KeyReader.holdsKey(path, key), "path", "must not hold the key");
    return new Target(path, question < 0 ? "" : query(target.substring(question + 1), key));
  }

  private static String query(String query, Optional<String> key) {
    List<String> kept = new ArrayList<>();
    for (String parameter : query.split("&")) {
      String name = parameter.split("=", 2)[0].toLowerCase(Locale.ROOT);
      if (!KEY_PARAMETERS.contains(name) && !KeyReader.holdsKey(parameter, key)) {
        kept.add(parameter);
      }
    }
    return String.join("&", kept);
  }

  /**
   * A checked request target without credentials.
   *
   * @param path the path
   * @param query the query without its question mark; empty if there is none
   */
  record Target(String path, String query) {

    String text() {
      return query.isEmpty() ? path : path + "?" + query;
    }
  }
}
