package org.parsleyhead.core.quota;

/**
 * The input of a lending decision.
 *
 * <p>Immutable and thread-safe.
 *
 * @param freeParts the parts of the lender's share that are not lent
 * @param demandParts the parts that the demand at the lender requires
 * @param capacity the capacity of the lender's bucket, in microtokens
 * @param availableMicrotokens the tokens in the lender's bucket, in microtokens
 * @param demandMicrotokensPerSecond the demand at the lender, in microtokens per second
 * @param requestedParts the parts that the borrower requests
 * @param requestedMicrotokens the microtokens that the borrower requests
 */
public record LendingContext(
    long freeParts,
    long demandParts,
    long capacity,
    long availableMicrotokens,
    long demandMicrotokensPerSecond,
    long requestedParts,
    long requestedMicrotokens) {}
