package org.parsleyhead.entry.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import org.parsleyhead.core.request.FailureStage;

/**
 * Relays the response of one attempt to the caller.
 *
 * <p>Implementations are confined to the event loop of the caller's channel. The methods are called
 * in the order in which the upstream sent the parts.
 */
interface ResponseRelay {

  /** Receives the status and the header fields. */
  void onHead(int status, HttpHeaders headers);

  /** Receives a part of the body. */
  void onPart(byte[] bytes);

  /** Receives the end of the body. */
  void onEnd();

  /** Receives a connection failure and the stage that the attempt had reached. */
  void onFailure(FailureStage stage, String reason);
}
