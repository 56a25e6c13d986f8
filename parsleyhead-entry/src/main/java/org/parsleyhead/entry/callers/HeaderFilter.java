package org.parsleyhead.entry.callers;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which header fields pass from callers to upstreams and back.
 *
 * <p>Stateless and thread-safe. Credentials and hop-by-hop fields never pass; neither does a field
 * whose value holds the caller's key.
 */
final class HeaderFilter {

  private static final Set<String> CREDENTIALS =
      Set.of("authorization", "proxy-authorization", "cookie", KeyReader.API_KEY_HEADER, "api-key");

  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "http2-settings",
          "expect",
          "host",
          "content-length");

  private static final String EXTENSION_PREFIX = "x-http2-";

  private HeaderFilter() {}

  /** Returns the fields of a request that an upstream may see. */
  static HttpHeaders forUpstream(HttpHeaders received, Optional<String> key) {
    Set<String> listed = connectionOptions(received);
    HttpHeaders passed = new DefaultHttpHeaders();
    for (Map.Entry<String, String> field : received) {
      String name = field.getKey().toLowerCase(Locale.ROOT);
      boolean dropped =
          CREDENTIALS.contains(name)
              || HOP_BY_HOP.contains(name)
              || listed.contains(name)
              || name.startsWith(EXTENSION_PREFIX)
              || KeyReader.holdsKey(field.getValue(), key);
      if (!dropped) {
        passed.add(name, field.getValue());
      }
    }
    return passed;
  }

  /** Returns the fields of an answer that the caller may see. */
  static HttpHeaders forCaller(HttpHeaders received) {
    Set<String> listed = connectionOptions(received);
    HttpHeaders passed = new DefaultHttpHeaders();
    for (Map.Entry<String, String> field : received) {
      String name = field.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name) && !listed.contains(name)) {
        passed.add(name, field.getValue());
      }
    }
    return passed;
  }

  private static Set<String> connectionOptions(HttpHeaders headers) {
    Set<String> options = new HashSet<>();
    for (String value : headers.getAll("connection")) {
      for (String option : value.split(",")) {
        options.add(option.strip().toLowerCase(Locale.ROOT));
      }
    }
    return options;
  }
}
