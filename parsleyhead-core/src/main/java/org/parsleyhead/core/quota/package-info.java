/**
 * Enforces the rate and burst of client accounts, in tokens, across all entry hosts of a cell.
 *
 * <p>Each host holds a share of all limits and may lend parts of it to other hosts for a limited
 * time.
 */
package org.parsleyhead.core.quota;
