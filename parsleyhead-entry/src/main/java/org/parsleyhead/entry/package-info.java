/** The main class of an entry host. */
package org.parsleyhead.entry;
