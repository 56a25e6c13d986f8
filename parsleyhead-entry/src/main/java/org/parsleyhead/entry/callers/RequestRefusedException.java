package org.parsleyhead.entry.callers;

import org.parsleyhead.core.api.ParsleyheadException;
import org.parsleyhead.core.request.Refusal;

/** Thrown when a request is refused before any decision was asked. */
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
