package org.parsleyhead.core.publication;

import java.util.Optional;

/**
 * Reads versions from values such as {@code ready 7.2}: version 7, announcement 2. Values without a
 * number state no version. Stateless and thread-safe.
 */
final class FakeItemVersions {

  private FakeItemVersions() {}

  static Optional<ItemVersion> of(PublishedItem item) {
    String[] words = item.value().orElse("").split(" ");
    if (words.length < 2) {
      return Optional.empty();
    }
    String[] numbers = words[1].split("\\.");
    return Optional.of(new ItemVersion(Long.parseLong(numbers[0]), Long.parseLong(numbers[1])));
  }
}
