/** Tickets rendered from declarations, and the documents that operators publish. */
package org.parsleyhead.operator.ticket;
