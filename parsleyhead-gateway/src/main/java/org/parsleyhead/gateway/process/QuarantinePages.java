package org.parsleyhead.gateway.process;

import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.parsleyhead.core.quarantine.Standing;
import org.parsleyhead.core.quarantine.Trait;

/**
 * The operators' pages that list the restricted traits and lift a restriction.
 *
 * <p>Immutable and thread-safe.
 */
final class QuarantinePages {

  private static final String PATH = "/quarantine";
  private static final String LIFT_PATH = PATH + "/lift/";

  private final Supplier<Map<Trait, Standing>> restricted;
  private final Predicate<Trait> lift;

  /**
   * Creates the pages.
   *
   * @param restricted returns the restricted traits
   * @param lift lifts the restriction of a trait on all hosts; false if that is not possible now
   */
  QuarantinePages(Supplier<Map<Trait, Standing>> restricted, Predicate<Trait> lift) {
    this.restricted = restricted;
    this.lift = lift;
  }

  /** Returns the page for a request; empty if it is for another page. */
  Optional<StatusPageServer.Page> page(String method, String path) {
    if (method.equals("POST") && path.startsWith(LIFT_PATH)) {
      return Optional.of(liftPage(path.substring(LIFT_PATH.length())));
    }
    return path.equals(PATH) ? Optional.of(listPage()) : Optional.empty();
  }

  private StatusPageServer.Page listPage() {
    return new StatusPageServer.Page(
        true,
        restricted.get().entrySet().stream()
            .map(entry -> entry.getKey().name() + " " + entry.getValue() + "\n")
            .sorted()
            .collect(Collectors.joining()));
  }

  private StatusPageServer.Page liftPage(String name) {
    Optional<Trait> trait = Trait.named(name);
    if (trait.isEmpty()) {
      return new StatusPageServer.Page(false, "not the name of a trait: " + name + "\n");
    }
    return lift.test(trait.get())
        ? new StatusPageServer.Page(true, "lifted " + name + "\n")
        : new StatusPageServer.Page(false, "busy; try again\n");
  }
}
