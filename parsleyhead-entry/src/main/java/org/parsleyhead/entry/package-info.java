/** The entry host's program. */
package org.parsleyhead.entry;
