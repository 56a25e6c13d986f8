/** The entry role. */
package org.parsleyhead.entry;
