package org.parsleyhead.codec;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when bytes cannot be decoded or a message cannot be encoded. */
public final class CodecException extends ParsleyheadException {

  /** The code for bytes that are not a well-formed message. */
  public static final String MALFORMED = "malformed_message";

  /** The code for a message that exceeds the maximum size. */
  public static final String TOO_LARGE = "message_too_large";

  /** The code for a message with an unknown version or type. */
  public static final String UNSUPPORTED = "unsupported_message";

  private static final long serialVersionUID = 1L;

  /** Creates an exception without a cause. */
  public CodecException(String code, String message) {
    super(code, message);
  }

  /** Creates an exception whose cause is the exception of a library. */
  public CodecException(String code, String message, Throwable cause) {
    super(code, message, cause);
  }
}
