package org.parsleyhead.core.quota;

/** The reason why a request was not admitted. */
public enum RefusalReason {
  /** The client account has used up its rate and burst; a later retry may succeed. */
  RATE_EXCEEDED,
  /** The request exceeds the burst of the client account and can never be admitted. */
  LARGER_THAN_BURST,
  /** No client account with this name is declared. */
  UNKNOWN_ACCOUNT,
  /** This host has no share that it may use now; another host or a later retry may succeed. */
  NO_SHARE
}
