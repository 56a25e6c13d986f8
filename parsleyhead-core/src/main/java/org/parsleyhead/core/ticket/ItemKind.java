package org.parsleyhead.core.ticket;

/**
 * The kinds of declared items. Their texts are part of the ticket format, their order is part of
 * the encoding of messages between hosts.
 */
public enum ItemKind {
  /** A client account with its rate and burst. */
  CLIENT_ACCOUNT("client_account"),
  /** A caller's key, identified by its digest. */
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

  /** Returns the text of the kind in the ticket format. */
  public String text() {
    return text;
  }
}
