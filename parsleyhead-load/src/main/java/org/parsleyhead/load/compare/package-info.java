/** Comparison of what callers were told with what upstreams ran. */
package org.parsleyhead.load.compare;
