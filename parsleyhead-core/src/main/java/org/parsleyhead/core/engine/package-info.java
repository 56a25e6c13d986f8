/**
 * Ownership of engines: pins on adapters, adapter loads and evictions, and transfer permits for the
 * weight store.
 */
package org.parsleyhead.core.engine;
