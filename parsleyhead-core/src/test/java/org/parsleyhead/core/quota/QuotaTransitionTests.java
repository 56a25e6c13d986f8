package org.parsleyhead.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.TicketNumber;

@DisplayName("The quota transition")
class QuotaTransitionTests {

  private static final RequestIdentifier REQUEST = new RequestIdentifier("request-1");

  private final QuotaTransition transition =
      new QuotaTransition(
          QuotaSettings.of(new HostName("a"), new Incarnation(1)), LendingPolicy.byDemand());
  private QuotaState state = QuotaState.initial(MonotonicTime.ORIGIN);

  private List<QuotaEffect> apply(QuotaEvent event, long milliseconds) {
    Step<QuotaState, QuotaEffect> step =
        transition.apply(state, event, MonotonicTime.ORIGIN.plus(Duration.ofMillis(milliseconds)));
    state = step.state();
    return step.effects();
  }

  private List<QuotaEffect> reserve(long tokens) {
    return apply(new QuotaEvent.Reserve(REQUEST, FakeFleet.ACCOUNT, tokens), 0);
  }

  private void declare() {
    apply(new QuotaEvent.LimitsDeclared(FakeFleet.ACCOUNT, FakeFleet.limits(1, 10, 100)), 0);
  }

  private static QuotaEffect refused(RefusalReason reason, long milliseconds) {
    return new QuotaEffect.Refused(REQUEST, reason, Duration.ofMillis(milliseconds));
  }

  @Test
  @DisplayName("refuses a request of an unknown account")
  void unknownAccount() {
    assertEquals(List.of(refused(RefusalReason.UNKNOWN_ACCOUNT, 0)), reserve(1));
  }

  @Test
  @DisplayName("refuses a request of a deleted account")
  void deletedAccount() {
    declare();
    apply(new QuotaEvent.AccountDeleted(FakeFleet.ACCOUNT, new TicketNumber(2)), 0);
    declare();
    assertEquals(List.of(refused(RefusalReason.UNKNOWN_ACCOUNT, 0)), reserve(1));
  }

  @Test
  @DisplayName("refuses a request that exceeds the burst, without a retry delay")
  void largerThanBurst() {
    declare();
    assertEquals(List.of(refused(RefusalReason.LARGER_THAN_BURST, 0)), reserve(101));
  }

  @Test
  @DisplayName("refuses a request after the maximum wait if the host has no share")
  void noShare() {
    declare();
    assertEquals(List.of(), reserve(50));
    assertEquals(List.of(), apply(new QuotaEvent.Tick(), 499));
    assertEquals(
        List.of(refused(RefusalReason.NO_SHARE, 5_000)), apply(new QuotaEvent.Tick(), 500));
  }

  @Test
  @DisplayName("drops a waiting request when it is released")
  void released() {
    declare();
    reserve(50);
    apply(new QuotaEvent.Release(REQUEST, FakeFleet.ACCOUNT), 100);
    assertEquals(List.of(), apply(new QuotaEvent.Tick(), 600));
  }
}
