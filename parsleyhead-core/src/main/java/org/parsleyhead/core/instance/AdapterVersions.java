package org.parsleyhead.core.instance;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The newest declared version of each adapter.
 *
 * <p>Immutable and thread-safe. Versions never decrease. An adapter without a declared version has
 * version 0, which every server satisfies.
 *
 * @param newest the newest version, by adapter
 */
public record AdapterVersions(PMap<AdapterKey, Long> newest) {

  /** No declared versions. */
  public static final AdapterVersions NONE = new AdapterVersions(HashTreePMap.empty());

  /** Returns the newest declared version of an adapter; 0 if none was declared. */
  public long of(AdapterKey adapter) {
    return newest.getOrDefault(adapter, 0L);
  }

  /** Returns these versions with a further declaration; an older version has no effect. */
  public AdapterVersions with(AdapterKey adapter, long version) {
    return version <= of(adapter) ? this : new AdapterVersions(newest.plus(adapter, version));
  }

  /** Returns whether a version of an adapter is not older than the declared one. */
  public boolean current(AdapterKey adapter, long version) {
    return version >= of(adapter);
  }
}
