/** Experiments with the real programs on one machine, and with the cores alone in one process. */
package org.parsleyhead.integration.measure;
