package org.parsleyhead.core.ticket;

import java.util.Set;
import org.parsleyhead.core.api.AdapterName;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.Preconditions;

/**
 * The declaration of an adapter of a base model.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the adapter name
 * @param baseModel the base model that the adapter extends
 * @param versions the versions that may be requested
 * @param weightsPath the path at which engines load the weights; the version is appended
 * @param clientAccounts the client accounts that may use the adapter
 */
public record AdapterItem(
    AdapterName name,
    ModelName baseModel,
    Set<Integer> versions,
    String weightsPath,
    Set<ClientAccountName> clientAccounts)
    implements Item {

  /** Validates the components and copies the collections. */
  public AdapterItem {
    Preconditions.requireNonNull(name, "name");
    Preconditions.requireNonNull(baseModel, "base_model");
    Preconditions.requireNotEmpty(versions, "versions");
    versions.forEach(version -> Preconditions.requirePositive(version, "versions"));
    Preconditions.requireName(weightsPath, "weights_path");
    versions = Set.copyOf(versions);
    clientAccounts = Set.copyOf(clientAccounts);
  }

  /** Returns the item key of an adapter. */
  public static ItemKey keyOf(AdapterName name) {
    return new ItemKey(ItemKind.ADAPTER, name.text());
  }

  @Override
  public ItemKey key() {
    return keyOf(name);
  }
}
