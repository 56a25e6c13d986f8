package org.parsleyhead.codec;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when bytes cannot be decoded or a message cannot be encoded. */
public final class CodecException extends ParsleyheadException {

  /** The bytes are not a message of a known form. */
  public static final String MALFORMED = "malformed_message";

  /** The message is longer than the bound. */
  public static final String TOO_LARGE = "message_too_large";

  /** The message has a version or type that this program does not know. */
  public static final String UNSUPPORTED = "unsupported_message";

  private static final long serialVersionUID = 1L;

  /** Creates an error without a cause. */
  public CodecException(String code, String message) {
    super(code, message);
  }

  /** Creates an error with the error of the library as its cause. */
  public CodecException(String code, String message, Throwable cause) {
    super(code, message, cause);
  }
}
