package org.parsleyhead.standin.engine;

import org.parsleyhead.standin.http.Exchange;
import org.parsleyhead.standin.http.HttpRequestMessage;
import org.parsleyhead.standin.http.HttpResponseMessage;
import org.parsleyhead.standin.ledger.ContentDigest;
import org.parsleyhead.standin.ledger.LedgerEntry;

/**
 * An order to load or unload an adapter that has been received but not yet answered.
 *
 * <p>Immutable and thread-safe.
 *
 * @param upstream the name of the engine
 * @param kind {@code load} or {@code unload}
 * @param adapter the adapter name with its version
 * @param request the HTTP request
 * @param exchange the exchange on which the response is sent
 * @param arrivalMilliseconds the time of receipt, in milliseconds since the epoch
 */
record PendingAdapterOrder(
    String upstream,
    String kind,
    String adapter,
    HttpRequestMessage request,
    Exchange exchange,
    long arrivalMilliseconds) {

  void respond(HttpResponseMessage response) {
    exchange.respond(response);
  }

  LedgerEntry toLedgerEntry(String outcome, String note) {
    return new LedgerEntry(
        upstream,
        kind,
        request.header("X-Request-Id"),
        adapter,
        request.method() + " " + request.path(),
        request.header("Idempotency-Key"),
        ContentDigest.of(request.body()),
        request.headers(),
        arrivalMilliseconds,
        System.currentTimeMillis(),
        outcome,
        0,
        0,
        0,
        note);
  }
}
