package org.parsleyhead.codec.openai;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.request.ModelCall;

/**
 * A request to complete a chat or a prompt: what decisions need, and the body for the upstream.
 *
 * <p>Immutable and thread-safe.
 */
public final class CompletionRequest {

  private final ModelCall call;
  private final boolean usageRequested;
  private final byte[] upstreamBody;

  CompletionRequest(ModelCall call, boolean usageRequested, ObjectNode upstreamBody) {
    this.call = Preconditions.requireNonNull(call, "call");
    this.usageRequested = usageRequested;
    this.upstreamBody = upstreamBody.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Returns what decisions need to know. */
  public ModelCall call() {
    return call;
  }

  /** Tells whether the caller wants the chunk that reports the usage at the end of a stream. */
  public boolean isUsageRequested() {
    return usageRequested;
  }

  /** Returns a copy of the body for the upstream. */
  public byte[] upstreamBody() {
    return upstreamBody.clone();
  }
}
