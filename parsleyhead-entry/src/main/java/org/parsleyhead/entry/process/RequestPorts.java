package org.parsleyhead.entry.process;

import java.util.function.Consumer;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.request.RequestEffect;

/**
 * The outputs of the request duty to the duties that make decisions for it.
 *
 * <p>Immutable; the consumers are thread-safe and do not block.
 *
 * @param reserve reserves tokens of the client account's limits
 * @param settle settles a reservation with the tokens used
 * @param release cancels a reservation
 * @param checkRepeat checks whether a request is a duplicate
 * @param forgetRepeat removes the record of a request that did not run, so that it may be resent
 * @param submitModelCall requests the choice of an engine
 * @param submitPlainCall requests the choice of a plain service
 * @param withdraw reports the end of an attempt, which frees its capacity at the upstream
 */
record RequestPorts(
    Consumer<RequestEffect.Reserve> reserve,
    Consumer<RequestEffect.Settle> settle,
    Consumer<RequestEffect.Release> release,
    Consumer<RequestEffect.CheckRepeat> checkRepeat,
    Consumer<RequestEffect.ForgetRepeat> forgetRepeat,
    Consumer<RequestEffect.SubmitModelCall> submitModelCall,
    Consumer<RequestEffect.SubmitPlainCall> submitPlainCall,
    Consumer<RequestEffect.Withdraw> withdraw) {

  RequestPorts {
    Preconditions.requireNonNull(reserve, "reserve");
    Preconditions.requireNonNull(settle, "settle");
    Preconditions.requireNonNull(release, "release");
    Preconditions.requireNonNull(checkRepeat, "checkRepeat");
    Preconditions.requireNonNull(forgetRepeat, "forgetRepeat");
    Preconditions.requireNonNull(submitModelCall, "submitModelCall");
    Preconditions.requireNonNull(submitPlainCall, "submitPlainCall");
    Preconditions.requireNonNull(withdraw, "withdraw");
  }
}
