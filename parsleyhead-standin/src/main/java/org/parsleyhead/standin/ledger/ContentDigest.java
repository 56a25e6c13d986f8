package org.parsleyhead.standin.ledger;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes the digest by which callers and upstreams identify the same prompt or body. Stateless
 * and thread-safe.
 */
public final class ContentDigest {

  private ContentDigest() {}

  /** Returns the SHA-256 digest of bytes in hexadecimal. */
  public static String of(byte[] content) {
    return HexFormat.of().formatHex(sha256(content));
  }

  /** Returns the SHA-256 digest of the UTF-8 form of a text in hexadecimal. */
  public static String of(String content) {
    return of(content.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the SHA-256 digest of bytes. */
  public static byte[] sha256(byte[] content) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(content);
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException(
          "SHA-256 is missing, although every Java platform provides it", exception);
    }
  }
}
