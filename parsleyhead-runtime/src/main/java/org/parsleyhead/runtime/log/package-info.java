/** Logs: one line of key=value pairs for each event. */
package org.parsleyhead.runtime.log;
