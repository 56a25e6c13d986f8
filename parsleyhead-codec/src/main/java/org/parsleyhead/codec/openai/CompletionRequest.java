package org.parsleyhead.codec.openai;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.request.ModelCall;

/**
 * A request for a chat or prompt completion: its properties, and the body for the upstream.
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

  /** Returns the properties on which decisions are based. */
  public ModelCall call() {
    return call;
  }

  /** Returns whether the caller requested a chunk with the token usage at the end of a stream. */
  public boolean isUsageRequested() {
    return usageRequested;
  }

  /** Returns a copy of the body for the upstream. */
  public byte[] upstreamBody() {
    return upstreamBody.clone();
  }
}
