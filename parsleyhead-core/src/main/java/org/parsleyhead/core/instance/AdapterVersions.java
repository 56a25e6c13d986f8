package org.parsleyhead.core.instance;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The newest declared version of each adapter.
 *
 * <p>Immutable and thread-safe. Versions only rise; an adapter without a declared version has
 * version 0, which every server satisfies.
 *
 * @param newest the newest version by adapter
 */
public record AdapterVersions(PMap<AdapterKey, Long> newest) {

  /** No declared versions. */
  public static final AdapterVersions NONE = new AdapterVersions(HashTreePMap.empty());

  /** Returns the newest declared version; 0 if none was declared. */
  public long of(AdapterKey adapter) {
    return newest.getOrDefault(adapter, 0L);
  }

  /** Returns these versions with one more; older ones change nothing. */
  public AdapterVersions with(AdapterKey adapter, long version) {
    return version <= of(adapter) ? this : new AdapterVersions(newest.plus(adapter, version));
  }

  /** Tells whether a version may still be used. */
  public boolean current(AdapterKey adapter, long version) {
    return version >= of(adapter);
  }
}
