package org.parsleyhead.standin.http;

/**
 * One header field of a message.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name as it was received
 * @param value the value
 */
public record HeaderField(String name, String value) {}
