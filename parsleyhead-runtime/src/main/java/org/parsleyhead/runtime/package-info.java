/** The runtime role. */
package org.parsleyhead.runtime;
