package org.parsleyhead.core.request;

import java.util.Optional;
import org.parsleyhead.core.account.CallerKey;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;

/**
 * The attributes of a request that decisions use. The body stays outside the core.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identifier the identifier of the request
 * @param method the HTTP method
 * @param path the normalized path, without the query
 * @param key the caller's key, if the request has one
 * @param modelCall the model call, if the body is one
 * @param idempotencyKey the idempotency key that the caller sent, equal on each repetition
 * @param contentDigest a digest of method, path, query and body
 */
public record RequestDescription(
    RequestIdentifier identifier,
    String method,
    String path,
    Optional<CallerKey> key,
    Optional<ModelCall> modelCall,
    Optional<String> idempotencyKey,
    String contentDigest) {

  /** Validates the components. */
  public RequestDescription {
    Preconditions.requireNonNull(identifier, "identifier");
    Preconditions.requireNonNull(method, "method");
    Preconditions.requireNonNull(path, "path");
    Preconditions.requireNonNull(key, "key");
    Preconditions.requireNonNull(modelCall, "modelCall");
    Preconditions.requireNonNull(idempotencyKey, "idempotencyKey");
    Preconditions.requireNonNull(contentDigest, "contentDigest");
  }
}
