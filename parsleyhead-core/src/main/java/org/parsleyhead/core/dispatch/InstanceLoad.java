package org.parsleyhead.core.dispatch;

/**
 * The load that one host puts on one instance.
 *
 * <p>Immutable and thread-safe.
 *
 * @param running the requests that were sent and have not completed
 * @param pendingPromptTokens the prompt tokens of those whose response has not started
 * @param reservedTokens the maximum number of tokens that all of them occupy when they complete
 */
public record InstanceLoad(int running, long pendingPromptTokens, long reservedTokens) {

  /** No load. */
  public static final InstanceLoad NONE = new InstanceLoad(0, 0, 0);

  /** Returns the sum of two loads. */
  public InstanceLoad plus(InstanceLoad other) {
    return new InstanceLoad(
        running + other.running,
        pendingPromptTokens + other.pendingPromptTokens,
        reservedTokens + other.reservedTokens);
  }

  /** Returns this load less another one; no component is negative. */
  public InstanceLoad minus(InstanceLoad other) {
    return new InstanceLoad(
        Math.max(0, running - other.running),
        Math.max(0, pendingPromptTokens - other.pendingPromptTokens),
        Math.max(0, reservedTokens - other.reservedTokens));
  }

  /** Returns whether there is no load. */
  public boolean isNone() {
    return running == 0 && pendingPromptTokens == 0 && reservedTokens == 0;
  }
}
