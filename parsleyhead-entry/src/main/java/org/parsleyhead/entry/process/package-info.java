/** Wires duties, rings and sockets into one process. */
package org.parsleyhead.entry.process;
