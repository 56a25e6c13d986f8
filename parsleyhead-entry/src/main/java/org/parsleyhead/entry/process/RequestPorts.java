package org.parsleyhead.entry.process;

import java.util.function.Consumer;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.request.RequestEffect;

/**
 * Where the effects of requests go that other duties carry out.
 *
 * <p>Immutable; the consumers are thread-safe and do not block.
 *
 * @param reserve reserves tokens
 * @param settle settles a reservation
 * @param release gives a reservation back
 * @param checkRepeat checks for repetition
 * @param forgetRepeat lets a request that did not run be sent again
 * @param submitModelCall chooses an engine
 * @param submitPlainCall chooses a plain service
 * @param withdraw frees the place at an upstream
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
