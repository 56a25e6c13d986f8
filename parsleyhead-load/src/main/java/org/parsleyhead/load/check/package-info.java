/** Checks of answers against their requests. */
package org.parsleyhead.load.check;
