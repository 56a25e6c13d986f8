/** The standin role. */
package org.parsleyhead.standin;
