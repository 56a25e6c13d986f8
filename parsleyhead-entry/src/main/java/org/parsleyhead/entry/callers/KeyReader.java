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
 * <p>Stateless and thread-safe. Keys are looked up by their SHA-256 digest, so that the duration of
 * a lookup reveals nothing about a key.
 */
final class KeyReader {

  static final String API_KEY_HEADER = "x-api-key";

  private static final Pattern BEARER = Pattern.compile("(?i)bearer +(\\S+) *");
  private static final int MINIMUM_KEY_LENGTH = 8;

  private KeyReader() {}

  /** Returns the key that the header fields of a request carry. */
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

  /** Returns the SHA-256 digest of concatenated byte sequences in hexadecimal. */
  static String sha256(byte[]... parts) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      for (byte[] part : parts) {
        digest.update(part);
      }
      return HexFormat.of().formatHex(digest.digest());
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException("the Java platform does not provide SHA-256", exception);
    }
  }

  /**
   * Returns whether a text contains the key. Keys shorter than {@link #MINIMUM_KEY_LENGTH} never
   * match, because other text may contain them by chance.
   */
  static boolean containsKey(String text, Optional<String> key) {
    return key.filter(value -> value.length() >= MINIMUM_KEY_LENGTH && text.contains(value))
        .isPresent();
  }
}
