package org.parsleyhead.entry.callers;

import org.parsleyhead.core.api.ParsleyheadException;
import org.parsleyhead.core.request.Refusal;

/** Thrown when a request is refused while it is read, before an exchange is submitted for it. */
final class RequestRefusedException extends ParsleyheadException {

  private static final long serialVersionUID = 1L;

  private final transient Refusal refusal;

  RequestRefusedException(Refusal refusal) {
    super(refusal.code().text(), refusal.message());
    this.refusal = refusal;
  }

  Refusal refusal() {
    return refusal;
  }
}
