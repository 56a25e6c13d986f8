package org.parsleyhead.entry.configuration;

import java.util.Optional;

/**
 * The outcome of a call to the configuration service.
 *
 * <p>Immutable; the bytes are changed by nobody.
 *
 * @param status the HTTP status; zero if there was no whole answer in time
 * @param revision the revision of the value, zero if none was told
 * @param body the value
 * @param failure why there was no whole answer
 */
record ServiceAnswer(int status, long revision, byte[] body, Optional<Throwable> failure) {

  static final int OK = 200;
  static final int NOT_MODIFIED = 304;
  static final int NOT_FOUND = 404;

  static ServiceAnswer failed(Throwable failure) {
    return new ServiceAnswer(0, 0, new byte[0], Optional.of(failure));
  }
}
