package org.parsleyhead.core.ticket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.RouteName;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.api.UpstreamName;

@DisplayName("A catalogue")
class CatalogueTests {

  private static final ModelName MODEL = new ModelName("base");

  private static Ticket ticket(long number, Change... changes) {
    return new Ticket(new TicketNumber(number), List.of(changes));
  }

  private static RouteItem route(String name, String prefix) {
    return new RouteItem(
        new RouteName(name),
        prefix,
        RouteItem.Access.OPEN,
        Set.of(),
        true,
        Priority.INTERACTIVE,
        Duration.ofSeconds(1),
        Set.of());
  }

  private static UpstreamItem engine(String name, ModelName model) {
    return new UpstreamItem(
        new UpstreamName(name),
        new Endpoint("127.0.0.1", 1),
        new FailureDomainName("domain"),
        Optional.of(new UpstreamItem.Engine(model, 4, 8, true)),
        false,
        false);
  }

  private static Change account(String name, long rate) {
    return Change.put(new ClientAccountItem(new ClientAccountName(name), rate, rate));
  }

  @Nested
  @DisplayName("finds a route")
  class FindsRoute {

    private final Catalogue catalogue =
        Catalogue.empty()
            .merge(
                ticket(
                    1,
                    Change.put(route("stock", "/stock")),
                    Change.put(route("depot", "/stock/depot/")),
                    Change.put(route("again", "/stock"))));

    private Optional<String> find(String path) {
      return catalogue.route(path).map(route -> route.name().text());
    }

    @Test
    @DisplayName("by the longest prefix that ends at a slash or at the end of the path")
    void longestPrefix() {
      assertEquals(Optional.of("depot"), find("/stock/depot/7/shelf"));
      assertEquals(Optional.of("again"), find("/stock/depot"));
      assertEquals(Optional.of("again"), find("/stock"));
      assertEquals(Optional.empty(), find("/stocks"));
      assertEquals(Optional.empty(), find("/"));
    }

    @Test
    @DisplayName("neither after its deletion nor under its previous prefix")
    void forgetsDeletedRoutes() {
      Catalogue later =
          catalogue.merge(
              ticket(
                  2,
                  Change.delete(RouteItem.keyOf(new RouteName("again"))),
                  Change.put(route("depot", "/depot"))));
      assertEquals("stock", later.route("/stock/depot/7").orElseThrow().name().text());
      assertEquals("depot", later.route("/depot/7").orElseThrow().name().text());
    }
  }

  @Test
  @DisplayName("finds the model servers of a base model, also after one changed its base model")
  void findsEngines() {
    ModelName other = new ModelName("other");
    Catalogue catalogue =
        Catalogue.empty()
            .merge(ticket(1, Change.put(engine("b", MODEL)), Change.put(engine("a", MODEL))))
            .merge(ticket(2, Change.put(engine("b", other))));
    assertEquals(List.of(engine("a", MODEL)), catalogue.engines(MODEL));
    assertEquals(List.of(engine("b", other)), catalogue.engines(other));
    assertEquals(2, catalogue.upstreams().size());
  }

  @Test
  @DisplayName(
      "returns an upstream as leaving if the host list declares it so, also after later tickets")
  void marksLeavingUpstreams() {
    Catalogue catalogue =
        Catalogue.empty()
            .withLeaving(Set.of(new UpstreamName("a")))
            .merge(ticket(1, Change.put(engine("a", MODEL)), Change.put(engine("b", MODEL))));
    assertTrue(catalogue.upstream(new UpstreamName("a")).orElseThrow().leaving());
    assertTrue(catalogue.engines(MODEL).get(0).leaving());
    assertFalse(catalogue.engines(MODEL).get(1).leaving());
    assertFalse(catalogue.withLeaving(Set.of()).engines(MODEL).get(0).leaving());
  }

  @Test
  @DisplayName("has the same items and digests regardless of the merge order of tickets")
  void mergesInAnyOrder() {
    Random random = new Random(4);
    List<Ticket> tickets = new ArrayList<>();
    for (int number = 1; number <= 60; number++) {
      String name = "account-" + random.nextInt(10);
      Change change = account(name, number);
      tickets.add(ticket(number, random.nextInt(3) == 0 ? Change.delete(change.key()) : change));
    }
    Catalogue first = merged(tickets);
    Collections.shuffle(tickets, random);
    Catalogue second = merged(tickets);
    assertEquals(first.items(), second.items());
    assertEquals(first.digests().values(), second.digests().values());
    assertEquals(first.digests().root(), second.digests().root());
  }

  private static Catalogue merged(List<Ticket> tickets) {
    Catalogue catalogue = Catalogue.empty();
    for (Ticket ticket : tickets) {
      catalogue = catalogue.merge(ticket);
    }
    return catalogue;
  }

  @Test
  @DisplayName("changes only the digest of the bucket that contains a changed item")
  void changesOneBucketDigest() {
    Catalogue before = Catalogue.empty().merge(ticket(1, account("a", 1), account("b", 1)));
    Change change = account("a", 2);
    Catalogue after = before.merge(ticket(2, change));
    assertEquals(
        List.of(BucketDigests.bucketOf(change.key())),
        after.digests().differingFrom(before.digests().values()));
    assertEquals(1, after.itemsIn(Set.of(BucketDigests.bucketOf(change.key()))).size());
  }

  @Test
  @DisplayName("reports revoked keys and changed client accounts separately")
  void reportsRevokedKeys() {
    KeyItem key = new KeyItem("ab".repeat(32), new ClientAccountName("a"));
    AppliedChange revoked =
        new AppliedChange(key.key(), new TicketNumber(2), Optional.of(key), Optional.empty());
    AppliedChange issued =
        new AppliedChange(key.key(), new TicketNumber(1), Optional.empty(), Optional.of(key));
    ConfigurationEffect.CatalogueChanged changed =
        new ConfigurationEffect.CatalogueChanged(
            Catalogue.empty(), 2, new ChangeSource.Service(), List.of(revoked, issued));
    assertEquals(List.of(key.digest()), changed.revokedKeyDigests());
    assertEquals(List.of(), changed.clientAccountChanges());
  }
}
