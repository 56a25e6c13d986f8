package org.parsleyhead.standin.platform;

import java.time.Duration;
import java.util.OptionalLong;
import org.parsleyhead.standin.ModeChange;

/** What happens to a publication service. All events are immutable. */
sealed interface PublicationEvent {

  /** A value is set; its revision is the next one unless it is given. */
  record Put(String path, byte[] bytes, OptionalLong revision) implements PublicationEvent {}

  /** A value is removed. */
  record Delete(String path) implements PublicationEvent {}

  /** A reader asks for a value. */
  record Read(long exchange, String path) implements PublicationEvent {}

  /** A reader waits for a value above a revision. */
  record Watch(long exchange, String path, long revision, Duration maximumWait)
      implements PublicationEvent {}

  /** The connection of a reader closed. */
  record ConnectionClosed(long exchange) implements PublicationEvent {}

  /** The way of answering changes. */
  record ModeChanged(ModeChange change) implements PublicationEvent {}

  /** Time has passed. */
  record Tick() implements PublicationEvent {}
}
