package org.parsleyhead.standin;

import org.parsleyhead.standin.http.HttpListener;

/** One running stand-in. Implementations are thread-safe. */
public interface Standin extends AutoCloseable {

  /** Returns what it stands in for: one word. */
  String kind();

  /** Returns its name, unique in the process. */
  String name();

  /** Returns its listener. */
  HttpListener listener();

  /** Changes how it answers. */
  void changeMode(ModeChange change);

  /** Returns how many calls it received since its start. */
  long calls();

  /** Stops its threads and closes its listener. */
  @Override
  void close();
}
