/** The decisions of the system: pure functions over immutable state. */
package org.parsleyhead.core;
