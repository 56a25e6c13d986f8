package org.parsleyhead.core.instance;

import org.parsleyhead.core.api.Preconditions;

/**
 * Identifies an adapter of a base model, or the base model itself if the adapter is empty.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the name of the base model
 * @param adapter the name of the adapter; empty for the base model
 */
public record AdapterKey(String model, String adapter) implements Comparable<AdapterKey> {

  /** Requires both names to be present. */
  public AdapterKey {
    Preconditions.requireNonNull(model, "model");
    Preconditions.requireNonNull(adapter, "adapter");
  }

  /** Returns whether this key identifies a base model. */
  public boolean baseModel() {
    return adapter.isEmpty();
  }

  @Override
  public int compareTo(AdapterKey other) {
    int byModel = model.compareTo(other.model);
    return byModel != 0 ? byModel : adapter.compareTo(other.adapter);
  }

  @Override
  public String toString() {
    return baseModel() ? model : model + "/" + adapter;
  }
}
