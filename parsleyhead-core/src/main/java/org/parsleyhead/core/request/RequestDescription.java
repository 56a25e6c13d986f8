package org.parsleyhead.core.request;

import java.util.Optional;
import org.parsleyhead.core.account.CallerKey;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;

/**
 * What decisions need to know of a request; its body stays with the front end.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identifier the identity
 * @param method the method
 * @param path the normalized path, without the query
 * @param key the caller's key, if one came
 * @param modelCall the call to a model, if the body is one
 * @param idempotencyKey the caller's name for this request, equal on each repetition
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

  /** Checks the parts. */
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
