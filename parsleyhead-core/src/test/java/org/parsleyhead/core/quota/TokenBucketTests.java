package org.parsleyhead.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;

@DisplayName("A token bucket")
class TokenBucketTests {

  private static final long TOKEN = QuotaUnits.MICROTOKENS_PER_TOKEN;

  private final TokenBucket empty =
      TokenBucket.empty(FakeFleet.limits(1, 100, 1_000), MonotonicTime.ORIGIN);

  private static MonotonicTime after(long seconds) {
    return MonotonicTime.ORIGIN.plus(Duration.ofSeconds(seconds));
  }

  @Test
  @DisplayName("refills at the rate of its parts up to the burst of its parts")
  void fills() {
    TokenBucket half = empty.withParts(QuotaUnits.TOTAL_PARTS / 2);
    assertEquals(50 * TOKEN, half.advance(after(1)).level());
    assertEquals(500 * TOKEN, half.advance(after(1_000_000)).level());
  }

  @Test
  @DisplayName("ignores an earlier time")
  void ignoresEarlierTimes() {
    TokenBucket later = empty.withParts(QuotaUnits.TOTAL_PARTS).advance(after(5));
    assertEquals(later, later.advance(after(4)));
  }

  @Nested
  @DisplayName("after a refund")
  class Refunded {

    private final TokenBucket full = empty.withParts(QuotaUnits.TOTAL_PARTS).advance(after(10));

    @Test
    @DisplayName("regains all tokens if it did not refill meanwhile")
    void atOnce() {
      TokenBucket charged = full.charge(400 * TOKEN);
      assertEquals(1_000 * TOKEN, charged.refund(charged.historyPosition(), 400 * TOKEN).level());
    }

    @Test
    @DisplayName("regains no tokens that it would have lost when full")
    void afterFilling() {
      TokenBucket charged = full.charge(400 * TOKEN);
      TokenBucket drained = charged.advance(after(20)).charge(1_000 * TOKEN);
      assertEquals(0, drained.refund(charged.historyPosition(), 400 * TOKEN).level());
    }

    @Test
    @DisplayName("takes the refunds of other requests into account")
    void afterOtherRefund() {
      TokenBucket first = full.charge(400 * TOKEN);
      TokenBucket second = first.charge(400 * TOKEN);
      TokenBucket refilled = second.advance(after(15));
      TokenBucket once = refilled.refund(first.historyPosition(), 400 * TOKEN);
      TokenBucket twice = once.refund(second.historyPosition(), 400 * TOKEN);
      assertEquals(1_000 * TOKEN, twice.level());
    }
  }

  @Test
  @DisplayName("loses at most the gap of adjacent entries from a refund if its history is full")
  void keepsHistoryShort() {
    TokenBucket bucket =
        empty.withParts(QuotaUnits.TOTAL_PARTS).advance(after(10)).charge(900 * TOKEN);
    long position = bucket.historyPosition();
    for (int index = 0; index < 1_000; index++) {
      bucket = bucket.charge(1);
    }
    long refunded = bucket.refund(position, 900 * TOKEN).level() - bucket.level();
    assertTrue(refunded <= 900 * TOKEN && refunded >= 900 * TOKEN - 1_000, "refunded " + refunded);
  }
}
