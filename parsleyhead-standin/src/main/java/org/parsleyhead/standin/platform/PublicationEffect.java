package org.parsleyhead.standin.platform;

import java.time.Duration;

/** A response of a publication service. All effects are immutable. */
sealed interface PublicationEffect {

  /** Returns the number of the exchange on which the response is sent. */
  long exchange();

  /** Responds with a value after a delay. */
  record Found(long exchange, PublishedValue value, Duration delay) implements PublicationEffect {}

  /** Responds after a delay that there is no value. */
  record Missing(long exchange, Duration delay) implements PublicationEffect {}

  /** Responds that a watched value did not change before the deadline. */
  record Unchanged(long exchange) implements PublicationEffect {}

  /** Refuses a request because the service is unavailable. */
  record Unavailable(long exchange) implements PublicationEffect {}
}
