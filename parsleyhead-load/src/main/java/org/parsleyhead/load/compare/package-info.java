/** Comparison of the outcomes observed by callers with the ledgers of upstreams. */
package org.parsleyhead.load.compare;
