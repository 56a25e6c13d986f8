package org.parsleyhead.standin.http;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Gives each open exchange a number, under which a core without input or output speaks of it.
 *
 * <p>Thread-safe. A number is never given twice.
 *
 * @param <T> what is kept for each exchange
 */
public final class ExchangeTable<T> {

  private final AtomicLong numbers;
  private final Map<Long, T> open = new ConcurrentHashMap<>();

  /** Creates a table with numbers of its own. */
  public ExchangeTable() {
    this(new AtomicLong());
  }

  /** Creates a table that shares its numbers with other tables. */
  public ExchangeTable(AtomicLong numbers) {
    this.numbers = numbers;
  }

  /** Adds an exchange and returns its number. */
  public long add(T exchange) {
    long number = numbers.incrementAndGet();
    open.put(number, exchange);
    return number;
  }

  /** Returns an open exchange. */
  public Optional<T> find(long number) {
    return Optional.ofNullable(open.get(number));
  }

  /** Removes an exchange and returns it; empty if it was removed before. */
  public Optional<T> remove(long number) {
    return Optional.ofNullable(open.remove(number));
  }
}
