/** Duties, each with a thread of its own, connected by bounded rings. */
package org.parsleyhead.runtime.duty;
