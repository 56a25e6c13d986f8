package org.parsleyhead.standin.ledger;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** The digest by which the two sides of a check recognise a prompt or body. Stateless. */
public final class ContentDigest {

  private ContentDigest() {}

  /** Returns the SHA-256 digest of bytes in hexadecimal. */
  public static String of(byte[] content) {
    return HexFormat.of().formatHex(sha256(content));
  }

  /** Returns the SHA-256 digest of a text in hexadecimal. */
  public static String of(String content) {
    return of(content.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the SHA-256 digest of bytes. */
  public static byte[] sha256(byte[] content) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(content);
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException("every Java platform has SHA-256", exception);
    }
  }
}
