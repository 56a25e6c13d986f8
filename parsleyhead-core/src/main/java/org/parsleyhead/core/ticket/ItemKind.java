package org.parsleyhead.core.ticket;

/** The kinds of declared items. The names are part of the ticket format. */
public enum ItemKind {
  /** A client account with its rate and burst. */
  CLIENT_ACCOUNT("client_account"),
  /** A caller's key, known by its digest. */
  KEY("key"),
  /** An adapter with its versions. */
  ADAPTER("adapter"),
  /** A route to models or to plain services. */
  ROUTE("route"),
  /** An upstream: a model server or a plain service. */
  UPSTREAM("upstream");

  private final String text;

  ItemKind(String text) {
    this.text = text;
  }

  /** Returns the name of the kind in tickets. */
  public String text() {
    return text;
  }
}
