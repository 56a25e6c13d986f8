package org.parsleyhead.standin.platform;

import java.time.Duration;

/** What a publication service answers. All effects are immutable. */
sealed interface PublicationEffect {

  /** Returns the number of the exchange that is answered. */
  long exchange();

  /** Answers with a value after a delay. */
  record Found(long exchange, PublishedValue value, Duration delay) implements PublicationEffect {}

  /** Answers that there is no value. */
  record Missing(long exchange, Duration delay) implements PublicationEffect {}

  /** Answers that a watched value has not changed within the wait. */
  record Unchanged(long exchange) implements PublicationEffect {}

  /** Refuses since the service is not available. */
  record Unavailable(long exchange) implements PublicationEffect {}
}
