/** Ownership of engines: pins, adapter loads, evictions and the permits for transfers. */
package org.parsleyhead.core.engine;
