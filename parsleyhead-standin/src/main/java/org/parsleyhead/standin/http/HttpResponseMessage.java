package org.parsleyhead.standin.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A complete HTTP response.
 *
 * <p>Immutable and thread-safe, provided that the body is never modified.
 */
public final class HttpResponseMessage {

  private static final String CONTENT_TYPE = "Content-Type";

  private final int status;
  private final List<HeaderField> headers;
  private final byte[] body;

  private HttpResponseMessage(int status, List<HeaderField> headers, byte[] body) {
    this.status = status;
    this.headers = List.copyOf(headers);
    this.body = body;
  }

  /** Returns a response without a body. */
  public static HttpResponseMessage empty(int status) {
    return new HttpResponseMessage(status, List.of(), new byte[0]);
  }

  /** Returns a response with a body; the caller must not modify the body afterwards. */
  public static HttpResponseMessage of(int status, String contentType, byte[] body) {
    return new HttpResponseMessage(
        status, List.of(new HeaderField(CONTENT_TYPE, contentType)), body);
  }

  /** Returns a response with a plain-text body. */
  public static HttpResponseMessage text(int status, String text) {
    return of(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a response with a JSON body. */
  public static HttpResponseMessage json(int status, ObjectNode document) {
    return of(status, "application/json", document.toString().getBytes(StandardCharsets.UTF_8));
  }

  /** Returns an error response in the format of the OpenAI HTTP API. */
  public static HttpResponseMessage error(int status, String type, String message) {
    ObjectNode document = JsonNodeFactory.instance.objectNode();
    document.putObject("error").put("message", message).put("type", type).put("code", status);
    return json(status, document);
  }

  /** Returns a copy of this response with an additional header field. */
  public HttpResponseMessage withHeader(String name, String value) {
    List<HeaderField> all = new ArrayList<>(headers);
    all.add(new HeaderField(name, value));
    return new HttpResponseMessage(status, all, body);
  }

  /** Returns the status code. */
  public int status() {
    return status;
  }

  /** Returns the header fields. */
  public List<HeaderField> headers() {
    return headers;
  }

  /** Returns the body; the caller must not modify it. */
  public byte[] body() {
    return body;
  }
}
