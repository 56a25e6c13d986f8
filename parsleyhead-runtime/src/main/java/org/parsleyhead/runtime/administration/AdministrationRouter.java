package org.parsleyhead.runtime.administration;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Dispatches requests to the pages of the administration port. Without input or output.
 *
 * <p>Immutable; as thread-safe as the pages.
 */
final class AdministrationRouter {

  private static final String ALLOWED_METHOD = "GET";

  private final Map<String, AdministrationPage> pages;
  private final Consumer<RuntimeException> failureHandler;

  /** Creates a router for pages with distinct paths; failures of pages go to the handler. */
  AdministrationRouter(List<AdministrationPage> pages, Consumer<RuntimeException> failureHandler) {
    this.pages =
        pages.stream()
            .collect(Collectors.toUnmodifiableMap(AdministrationPage::path, Function.identity()));
    this.failureHandler = failureHandler;
  }

  /** Returns the response to a request; a page that fails is reported and yields status 500. */
  AdministrationResponse route(String method, AdministrationRequest request) {
    AdministrationPage page = pages.get(request.path());
    if (page == null) {
      return AdministrationResponse.line(AdministrationResponse.NOT_FOUND, "unknown page");
    }
    if (!method.equals(ALLOWED_METHOD)) {
      return AdministrationResponse.line(AdministrationResponse.METHOD_NOT_ALLOWED, "use GET");
    }
    try {
      return page.handler().handle(request);
    } catch (RuntimeException exception) {
      failureHandler.accept(exception);
      return AdministrationResponse.line(AdministrationResponse.INTERNAL_ERROR, "page failed");
    }
  }
}
