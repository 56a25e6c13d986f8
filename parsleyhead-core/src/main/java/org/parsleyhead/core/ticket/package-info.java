/** Declarations, change tickets and the catalogue that merges them. */
package org.parsleyhead.core.ticket;
