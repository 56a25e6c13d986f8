package org.parsleyhead.standin.platform;

import java.time.Duration;
import java.util.OptionalLong;
import org.parsleyhead.standin.ModeChange;

/** An event that a publication service handles. All events are immutable. */
sealed interface PublicationEvent {

  /** A value is set; without an explicit revision, the next one is assigned. */
  record Put(String path, byte[] bytes, OptionalLong revision) implements PublicationEvent {}

  /** A value is removed. */
  record Delete(String path) implements PublicationEvent {}

  /** A reader requests a value. */
  record Read(long exchange, String path) implements PublicationEvent {}

  /** A reader waits for a revision of a value that is higher than the one it has. */
  record Watch(long exchange, String path, long revision, Duration maximumWait)
      implements PublicationEvent {}

  /** The connection of a reader closed. */
  record ConnectionClosed(long exchange) implements PublicationEvent {}

  /** The service mode changed. */
  record ModeChanged(ModeChange change) implements PublicationEvent {}

  /** The periodic timer fired. */
  record Tick() implements PublicationEvent {}
}
