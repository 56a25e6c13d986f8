/**
 * The core: all decisions of the system, as pure functions over immutable state.
 *
 * <p>The core has no input or output, threads, clocks or random sources. Events carry the time and
 * random numbers in; effects describe what the surrounding code has to do.
 */
package org.parsleyhead.core;
