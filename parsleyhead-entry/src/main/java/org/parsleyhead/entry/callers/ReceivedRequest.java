package org.parsleyhead.entry.callers;

import io.netty.handler.codec.http.HttpHeaders;
import org.parsleyhead.core.request.RequestDescription;

/**
 * A request as it was received: the description for decisions and what an upstream will see.
 *
 * <p>Nobody changes the headers and the body after creation, so it is safe to share.
 *
 * @param description what decisions need to know
 * @param target path and query for a plain service
 * @param headers the header fields that an upstream may see
 * @param body the body that an upstream will see
 * @param usageRequested whether the caller wants the usage at the end of a stream
 */
public record ReceivedRequest(
    RequestDescription description,
    String target,
    HttpHeaders headers,
    byte[] body,
    boolean usageRequested) {}
