package org.parsleyhead.standin.engine;

import org.parsleyhead.standin.http.Exchange;
import org.parsleyhead.standin.http.HttpRequestMessage;
import org.parsleyhead.standin.http.HttpResponseMessage;
import org.parsleyhead.standin.ledger.ContentDigest;
import org.parsleyhead.standin.ledger.LedgerEntry;

/**
 * An order to load or unload an adapter between its request and its answer.
 *
 * <p>Immutable and thread-safe.
 *
 * @param upstream the engine
 * @param kind {@code load} or {@code unload}
 * @param adapter the adapter with its version
 * @param call the request
 * @param exchange its exchange
 * @param arrivalMilliseconds when it arrived, in milliseconds since the epoch
 */
record PendingAdapterOrder(
    String upstream,
    String kind,
    String adapter,
    HttpRequestMessage call,
    Exchange exchange,
    long arrivalMilliseconds) {

  void respond(HttpResponseMessage answer) {
    exchange.respond(answer);
  }

  LedgerEntry toLedgerEntry(String outcome, String note) {
    return new LedgerEntry(
        upstream,
        kind,
        call.header("X-Request-Id"),
        adapter,
        call.method() + " " + call.path(),
        call.header("Idempotency-Key"),
        ContentDigest.of(call.body()),
        call.headers(),
        arrivalMilliseconds,
        System.currentTimeMillis(),
        outcome,
        0,
        0,
        0,
        note);
  }
}
