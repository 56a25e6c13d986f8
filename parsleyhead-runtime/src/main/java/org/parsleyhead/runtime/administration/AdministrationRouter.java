package org.parsleyhead.runtime.administration;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Finds the page of a request. Without input or output.
 *
 * <p>Immutable; as thread-safe as the pages.
 */
final class AdministrationRouter {

  private static final String READING_METHOD = "GET";

  private final Map<String, AdministrationPage> pages;
  private final Consumer<RuntimeException> failures;

  /** Creates a router for pages with distinct paths. */
  AdministrationRouter(List<AdministrationPage> pages, Consumer<RuntimeException> failures) {
    this.pages =
        pages.stream()
            .collect(Collectors.toUnmodifiableMap(AdministrationPage::path, Function.identity()));
    this.failures = failures;
  }

  /** Answers a request; a page that fails gives a 500 and is reported. */
  AdministrationResponse route(String method, AdministrationRequest request) {
    AdministrationPage page = pages.get(request.path());
    if (page == null) {
      return AdministrationResponse.line(AdministrationResponse.NOT_FOUND, "unknown page");
    }
    if (!method.equals(READING_METHOD)) {
      return AdministrationResponse.line(AdministrationResponse.METHOD_NOT_ALLOWED, "use GET");
    }
    try {
      return page.handler().handle(request);
    } catch (RuntimeException exception) {
      failures.accept(exception);
      return AdministrationResponse.line(AdministrationResponse.INTERNAL_ERROR, "page failed");
    }
  }
}
