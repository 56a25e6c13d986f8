/**
 * Detects repetitions of requests that are not idempotent, across all hosts of a cell.
 *
 * <p>A request runs only after a majority of the cell's members has recorded it and none of them
 * had a record of it. Records are kept in memory for a limited time; a process that may have lost
 * records does not count towards a majority.
 */
package org.parsleyhead.core.idempotency;
