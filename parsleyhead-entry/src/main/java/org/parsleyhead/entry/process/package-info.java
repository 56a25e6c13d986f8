/** Assembles the duties, rings and sockets of an entry host into one process. */
package org.parsleyhead.entry.process;
