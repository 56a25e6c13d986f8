package org.parsleyhead.standin.http;

/**
 * A header field of an HTTP message.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name, in its original case
 * @param value the value
 */
public record HeaderField(String name, String value) {}
