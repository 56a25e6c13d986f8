package org.parsleyhead.entry.callers;

import io.netty.handler.codec.http.HttpHeaders;
import org.parsleyhead.core.request.RequestDescription;

/**
 * A received request: its description for the request duty, and the parts to send to an upstream.
 *
 * <p>Thread-safe, because the headers and the body are not modified after creation.
 *
 * @param description the properties on which decisions are based
 * @param target the path and query to send to a plain service
 * @param headers the header fields to send to an upstream
 * @param body the body to send to an upstream
 * @param usageRequested whether the caller requested the token usage at the end of a stream
 */
public record ReceivedRequest(
    RequestDescription description,
    String target,
    HttpHeaders headers,
    byte[] body,
    boolean usageRequested) {}
