package org.parsleyhead.entry.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import org.parsleyhead.core.request.FailureStage;

/**
 * Passes one attempt's answer to the caller. All methods run on the event loop of the caller's
 * channel, in the order in which the upstream sent.
 */
interface AnswerRelay {

  /** Takes the head of the answer. */
  void head(int status, HttpHeaders headers);

  /** Takes a part of the body. */
  void part(byte[] bytes);

  /** Takes the end of the body. */
  void end();

  /** Takes a failure of the connection, and how far the attempt had come. */
  void failed(FailureStage stage, String reason);
}
