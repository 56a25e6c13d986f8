package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.RegionName;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.placement.HomeRegions;
import org.parsleyhead.core.serving.AccountLimits;
import org.parsleyhead.core.serving.RequestKind;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.core.serving.ServiceCatalogue;
import org.parsleyhead.core.serving.ServiceRoute;
import org.parsleyhead.core.serving.WeightedService;

@DisplayName("The home regions of a request")
class HomeRegionsTests {

  private static final HomeRegions HOME = HomeRegions.of(Set.of(DispatchFixture.HOME));
  private static final HomeRegions ABROAD = HomeRegions.of(Set.of(new RegionName("abroad")));

  private final DispatchFixture fixture = DispatchFixture.running();

  /** Sets the home regions and adds a server whose failure domain belongs to no known region. */
  private void configure(HomeRegions ofRoute, HomeRegions ofAccount) {
    ServiceRoute read =
        new ServiceRoute(
            "read",
            DispatchFixture.HOST,
            "/read/",
            RequestKind.IDEMPOTENT,
            Duration.ofSeconds(5),
            Duration.ofMillis(500),
            Duration.ofMillis(250),
            1,
            List.of(new WeightedService("plain", 1)),
            2,
            false,
            ofRoute);
    AccountLimits account =
        new AccountLimits(
            new ClientAccountName("account"),
            Set.of(DispatchFixture.KEY),
            OptionalInt.empty(),
            false,
            0,
            0,
            0,
            ofAccount);
    fixture.apply(
        new DispatchEvent.CatalogueChanged(
            new ServiceCatalogue(
                2,
                List.of(read),
                DispatchFixture.services(),
                RequestLimits.INITIAL,
                List.of(account))));
    fixture.announce(
        new Instance(
            "p3",
            1,
            "plain",
            Endpoint.parse("10.0.1.1:80"),
            new FailureDomainName("far"),
            8,
            false,
            Set.of(),
            Map.of(),
            1));
  }

  private long sendsAway() {
    long away = 0;
    for (int request = 0; request < 30; request++) {
      DispatchEffect.Send send = fixture.send("/read/x", Optional.empty());
      away += send.instance().identifier().equals("p3") ? 1 : 0;
    }
    return away;
  }

  private void assertRefused() {
    DispatchRefusal refusal =
        DispatchFixture.only(
                fixture.receive("/read/x", Optional.empty()), DispatchEffect.Refuse.class)
            .refusal();
    assertEquals(DispatchRefusal.Code.NO_INSTANCE, refusal.code());
  }

  @Test
  @DisplayName("do not restrict it if neither its route nor its account has any")
  void none() {
    configure(HomeRegions.ANYWHERE, HomeRegions.ANYWHERE);
    assertTrue(sendsAway() > 0);
  }

  @Test
  @DisplayName("of its route or its account keep it from servers in other or unknown regions")
  void eitherRestricts() {
    configure(HOME, HomeRegions.ANYWHERE);
    assertEquals(0, sendsAway());
  }

  @Test
  @DisplayName("apply together if both have some, and refuse it at once if no server is left")
  void bothRestrict() {
    configure(HOME, ABROAD);
    assertRefused();
  }

  @Test
  @DisplayName("of its account refuse it at once if no server is in any of them")
  void accountRestricts() {
    configure(HomeRegions.ANYWHERE, ABROAD);
    assertRefused();
  }

  @Test
  @DisplayName("and evacuated failure domains apply together")
  void withEvacuation() {
    configure(HOME, HomeRegions.ANYWHERE);
    fixture.apply(new DispatchEvent.EvacuationChanged(DispatchFixture.NEAR, true));
    assertRefused();
  }
}
