package org.parsleyhead.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.publication.ItemVersion;
import org.parsleyhead.core.publication.PublishedItem;
import org.parsleyhead.gateway.api.DecodedItem;

/** Guards against items of a restored store that are ordered by the wrong numbers. */
@DisplayName("The version of a published item")
class DecodedItemVersionsTests {

  private static Optional<ItemVersion> versionOf(DecodedItem decoded) {
    return new DecodedItemVersions(item -> decoded)
        .of(new PublishedItem("key", 1, 9, Optional.of("value")));
  }

  @Test
  @DisplayName("is the start time and the announcement number of a server")
  void readsAnnouncements() {
    Instance instance =
        new Instance(
            "i-1",
            1_700,
            "service",
            Endpoint.parse("10.0.0.1:9"),
            new FailureDomainName("near"),
            4,
            false,
            Set.of(),
            Map.of(),
            12);
    assertEquals(
        Optional.of(new ItemVersion(1_700, 12)), versionOf(new DecodedItem.Announcement(instance)));
  }

  @Test
  @DisplayName("is the version of an adapter")
  void readsAdapterVersions() {
    assertEquals(
        Optional.of(new ItemVersion(5, 0)),
        versionOf(new DecodedItem.AdapterVersion(new AdapterKey("base", "a"), 5)));
  }

  @Test
  @DisplayName("is unknown for a deletion and for an item that states none")
  void readsNone() {
    assertEquals(Optional.empty(), versionOf(new DecodedItem.Removal("i-1")));
    assertEquals(Optional.empty(), versionOf(new DecodedItem.Ignored("key", "unknown key")));
  }
}
