package org.parsleyhead.standin;

import org.parsleyhead.standin.http.HttpListener;

/** A running stand-in for one external service. Implementations are thread-safe. */
public interface Standin extends AutoCloseable {

  /** Returns the kind of service that it replaces, as a single word. */
  String kind();

  /** Returns its name, which is unique in the process. */
  String name();

  /** Returns the listener on which it receives requests. */
  HttpListener listener();

  /** Changes the service mode. */
  void changeMode(ModeChange change);

  /** Returns how many requests it has counted since its start. */
  long requestCount();

  /** Closes its listener and stops its duty. */
  @Override
  void close();
}
