package org.parsleyhead.core.dispatch;

/**
 * A part of a prompt, which several requests may have in common.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identity an identifier that is the same for equal parts
 * @param tokens the length, in tokens
 */
public record PromptPart(long identity, int tokens) {}
