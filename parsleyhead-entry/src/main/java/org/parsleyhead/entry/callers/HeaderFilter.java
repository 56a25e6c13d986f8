package org.parsleyhead.entry.callers;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Selects the header fields that are forwarded from callers to upstreams and back.
 *
 * <p>Stateless and thread-safe. Hop-by-hop fields are never forwarded. Credentials and fields whose
 * value contains the caller's key are never forwarded to an upstream.
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

  private static final String HTTP2_EXTENSION_PREFIX = "x-http2-";

  private HeaderFilter() {}

  /** Returns the fields of a request that are forwarded to an upstream. */
  static HttpHeaders forUpstream(HttpHeaders received, Optional<String> key) {
    Set<String> connectionOptions = connectionOptions(received);
    HttpHeaders forwarded = new DefaultHttpHeaders();
    for (Map.Entry<String, String> field : received) {
      String name = field.getKey().toLowerCase(Locale.ROOT);
      boolean dropped =
          CREDENTIALS.contains(name)
              || HOP_BY_HOP.contains(name)
              || connectionOptions.contains(name)
              || name.startsWith(HTTP2_EXTENSION_PREFIX)
              || KeyReader.containsKey(field.getValue(), key);
      if (!dropped) {
        forwarded.add(name, field.getValue());
      }
    }
    return forwarded;
  }

  /** Returns the fields of a response that are forwarded to the caller. */
  static HttpHeaders forCaller(HttpHeaders received) {
    Set<String> connectionOptions = connectionOptions(received);
    HttpHeaders forwarded = new DefaultHttpHeaders();
    for (Map.Entry<String, String> field : received) {
      String name = field.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name) && !connectionOptions.contains(name)) {
        forwarded.add(name, field.getValue());
      }
    }
    return forwarded;
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
