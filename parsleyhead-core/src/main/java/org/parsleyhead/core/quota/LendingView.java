package org.parsleyhead.core.quota;

/**
 * What a lender knows when another host asks for a loan.
 *
 * <p>Immutable and thread-safe.
 *
 * @param freeParts the parts of the lender's share that are not lent
 * @param demandParts the parts that the requests at the lender take up
 * @param capacity the most tokens that the lender can hold, in microtokens
 * @param microtokens the tokens that the lender may spend
 * @param demandPerSecond the tokens per second that requests at the lender ask for, in microtokens
 * @param requestedParts the parts that are asked for
 * @param requestedMicrotokens the tokens that are asked for
 */
public record LendingView(
    long freeParts,
    long demandParts,
    long capacity,
    long microtokens,
    long demandPerSecond,
    long requestedParts,
    long requestedMicrotokens) {}
