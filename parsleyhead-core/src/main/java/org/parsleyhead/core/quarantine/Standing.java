package org.parsleyhead.core.quarantine;

/** What is concluded about a trait. Immutable and thread-safe. */
public enum Standing {
  /** Requests with the trait are sent. */
  CLEAR,
  /** One server may have ended on the trait; single requests are sent as trials. */
  SUSPECT,
  /** The verdict on the trait is over; single requests are sent as trials. */
  PROBATION,
  /** Several servers have ended on the trait; no request with it is sent. */
  CONDEMNED;

  /** Returns whether requests with the trait are sent without a restriction. */
  public boolean unrestricted() {
    return this == CLEAR;
  }
}
