package org.parsleyhead.standin.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.parsleyhead.standin.ledger.ContentDigest;

/**
 * The tokens that an engine stand-in generates for a model and a prompt.
 *
 * <p>Immutable and thread-safe. Each token contains its index and a hash of model, prompt and
 * index, so that missing, duplicate or foreign tokens can be detected.
 */
public final class TokenSequence {

  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;
  private static final int CHARACTERS_PER_TOKEN = 4;

  private final long seed;

  private TokenSequence(long seed) {
    this.seed = seed;
  }

  /** Returns the tokens for a model and a prompt. */
  public static TokenSequence of(String model, String prompt) {
    byte[] content = (model + '\n' + prompt).getBytes(StandardCharsets.UTF_8);
    return new TokenSequence(ByteBuffer.wrap(ContentDigest.sha256(content)).getLong());
  }

  /** Returns the length of a prompt in tokens, which is at least one. */
  public static int promptTokens(String prompt) {
    return Math.max(1, (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
  }

  /** Returns the text of one token, which ends with a space. */
  public String text(int number) {
    int hash = (int) (mix(seed + number * GOLDEN_GAMMA) >>> 32);
    return number + ":" + HexFormat.of().toHexDigits(hash) + " ";
  }

  /** Returns the text of the tokens from one index (inclusive) to another (exclusive). */
  public String text(int from, int to) {
    StringBuilder text = new StringBuilder();
    for (int number = from; number < to; number++) {
      text.append(text(number));
    }
    return text.toString();
  }

  /**
   * Returns the length at which the completion ends naturally, in tokens.
   *
   * @param maximum the maximum of such lengths; zero if completions never end naturally
   */
  public int naturalLength(int maximum) {
    return maximum == 0 ? Integer.MAX_VALUE : 1 + (int) Long.remainderUnsigned(mix(seed), maximum);
  }

  /** Returns a hash of a number with the finalizer of SplitMix64. */
  static long mix(long value) {
    long hash = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
    return hash ^ (hash >>> 31);
  }
}
