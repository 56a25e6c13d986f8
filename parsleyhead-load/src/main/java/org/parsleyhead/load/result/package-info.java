/** Outcomes of requests, and the statistics and reports computed from them. */
package org.parsleyhead.load.result;
