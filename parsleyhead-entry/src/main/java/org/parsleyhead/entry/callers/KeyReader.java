package org.parsleyhead.entry.callers;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the caller's key from a request.
 *
 * <p>Stateless and thread-safe. Keys are looked up by their SHA-256 digest, so the time of a
 * look-up says nothing about a key.
 */
final class KeyReader {

  static final String API_KEY_HEADER = "x-api-key";

  private static final Pattern BEARER = Pattern.compile("(?i)bearer +(\\S+) *");
  private static final int SHORTEST_KEY = 8;

  private KeyReader() {}

  /** Returns the key that came with a request. */
  static Optional<String> read(HttpHeaders headers) {
    String authorization = headers.get(HttpHeaderNames.AUTHORIZATION);
    if (authorization != null) {
      Matcher matcher = BEARER.matcher(authorization);
      return matcher.matches() ? Optional.of(matcher.group(1)) : Optional.empty();
    }
    return Optional.ofNullable(headers.get(API_KEY_HEADER)).filter(key -> !key.isBlank());
  }

  /** Returns the SHA-256 digest of a key in hexadecimal. */
  static String digest(String key) {
    return sha256(key.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the SHA-256 digest of several byte sequences, one behind the other. */
  static String sha256(byte[]... parts) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      for (byte[] part : parts) {
        digest.update(part);
      }
      return HexFormat.of().formatHex(digest.digest());
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException("every Java platform has SHA-256", exception);
    }
  }

  /** Tells whether a text holds the key; keys too short to be told from other text never match. */
  static boolean holdsKey(String text, Optional<String> key) {
    return key.filter(value -> value.length() >= SHORTEST_KEY && text.contains(value)).isPresent();
  }
}
