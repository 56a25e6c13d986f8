package org.parsleyhead.entry.configuration;

import java.util.Optional;

/**
 * The result of a call to the configuration service or the host list service.
 *
 * <p>Immutable by convention: the body must not be modified.
 *
 * @param status the HTTP status, zero if no complete response arrived in time
 * @param revision the revision of the value, zero if the response has none
 * @param body the value
 * @param failure why there was no complete response
 */
record ServiceResponse(int status, long revision, byte[] body, Optional<Throwable> failure) {

  static final int OK = 200;
  static final int NOT_MODIFIED = 304;
  static final int NOT_FOUND = 404;

  static ServiceResponse failed(Throwable failure) {
    return new ServiceResponse(0, 0, new byte[0], Optional.of(failure));
  }
}
