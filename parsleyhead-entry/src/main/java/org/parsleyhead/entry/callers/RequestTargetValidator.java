package org.parsleyhead.entry.callers;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.InvalidValueException;
import org.parsleyhead.core.api.Preconditions;

/**
 * Validates request targets, so that routing and upstreams interpret the same path.
 *
 * <p>Stateless and thread-safe. Paths are not normalized; a path that two parsers might interpret
 * differently is refused.
 */
final class RequestTargetValidator {

  private static final List<String> AMBIGUOUS_ENCODINGS = List.of("%2f", "%5c", "%2e", "%00");
  private static final Set<String> KEY_PARAMETERS =
      Set.of("key", "api_key", "api-key", "apikey", "access_token", "token");

  private RequestTargetValidator() {}

  /**
   * Validates a target and removes credentials from its query.
   *
   * @throws InvalidValueException if the target is ambiguous, not in origin form or contains the
   *     key in its path
   */
  static Target validate(String target, Optional<String> key) {
    Preconditions.require(target.startsWith("/"), "path", "must start with a slash");
    Preconditions.require(
        target.chars().allMatch(c -> c > ' ' && c < 127 && c != '\\' && c != '#'),
        "path",
        "must hold plain characters");
    int queryDelimiter = target.indexOf('?');
    String path = queryDelimiter < 0 ? target : target.substring(0, queryDelimiter);
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
    Preconditions.require(!KeyReader.containsKey(path, key), "path", "must not hold the key");
    return new Target(
        path,
        queryDelimiter < 0 ? "" : withoutCredentials(target.substring(queryDelimiter + 1), key));
  }

  private static String withoutCredentials(String query, Optional<String> key) {
    List<String> kept = new ArrayList<>();
    for (String parameter : query.split("&")) {
      String name = parameter.split("=", 2)[0].toLowerCase(Locale.ROOT);
      if (!KEY_PARAMETERS.contains(name) && !KeyReader.containsKey(parameter, key)) {
        kept.add(parameter);
      }
    }
    return String.join("&", kept);
  }

  /**
   * A validated request target without credentials.
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
