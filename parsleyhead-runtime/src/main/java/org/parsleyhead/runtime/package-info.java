/** Infrastructure of all programs: duties, settings, logs, metrics, administration and commands. */
package org.parsleyhead.runtime;
