/** The load role. */
package org.parsleyhead.load;
