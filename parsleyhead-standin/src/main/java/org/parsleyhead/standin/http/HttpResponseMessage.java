package org.parsleyhead.standin.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A whole answer.
 *
 * <p>Immutable and thread-safe as long as nobody changes the body.
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

  /** Returns an answer without a body. */
  public static HttpResponseMessage empty(int status) {
    return new HttpResponseMessage(status, List.of(), new byte[0]);
  }

  /** Returns an answer with a body of a type; the body is not changed afterwards. */
  public static HttpResponseMessage of(int status, String contentType, byte[] body) {
    return new HttpResponseMessage(
        status, List.of(new HeaderField(CONTENT_TYPE, contentType)), body);
  }

  /** Returns an answer with plain text. */
  public static HttpResponseMessage text(int status, String text) {
    return of(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns an answer with a JSON document. */
  public static HttpResponseMessage json(int status, ObjectNode document) {
    return of(status, "application/json", document.toString().getBytes(StandardCharsets.UTF_8));
  }

  /** Returns an error in the form of the OpenAI HTTP API. */
  public static HttpResponseMessage error(int status, String type, String message) {
    ObjectNode document = JsonNodeFactory.instance.objectNode();
    document.putObject("error").put("message", message).put("type", type).put("code", status);
    return json(status, document);
  }

  /** Returns this answer with a further header. */
  public HttpResponseMessage withHeader(String name, String value) {
    List<HeaderField> all = new ArrayList<>(headers);
    all.add(new HeaderField(name, value));
    return new HttpResponseMessage(status, all, body);
  }

  /** Returns the status. */
  public int status() {
    return status;
  }

  /** Returns the headers. */
  public List<HeaderField> headers() {
    return headers;
  }

  /** Returns the body; the caller does not change it. */
  public byte[] body() {
    return body;
  }
}
