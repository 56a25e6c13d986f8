/** Logging of events, each as one line of key=value pairs. */
package org.parsleyhead.runtime.log;
