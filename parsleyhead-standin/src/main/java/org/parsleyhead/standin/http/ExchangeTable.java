package org.parsleyhead.standin.http;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Assigns a number to each open exchange, by which a core without input or output refers to it.
 *
 * <p>Thread-safe. A number is never reused.
 *
 * @param <T> the type of the object that is stored for each exchange
 */
public final class ExchangeTable<T> {

  private final AtomicLong numbers;
  private final Map<Long, T> open = new ConcurrentHashMap<>();

  /** Creates a table with its own sequence of numbers. */
  public ExchangeTable() {
    this(new AtomicLong());
  }

  /** Creates a table that shares its sequence of numbers with other tables. */
  public ExchangeTable(AtomicLong numbers) {
    this.numbers = numbers;
  }

  /** Adds an exchange and returns its number. */
  public long add(T exchange) {
    long number = numbers.incrementAndGet();
    open.put(number, exchange);
    return number;
  }

  /** Returns the open exchange with a number; empty if it was removed. */
  public Optional<T> find(long number) {
    return Optional.ofNullable(open.get(number));
  }

  /** Removes the exchange with a number and returns it; empty if it was already removed. */
  public Optional<T> remove(long number) {
    return Optional.ofNullable(open.remove(number));
  }
}
