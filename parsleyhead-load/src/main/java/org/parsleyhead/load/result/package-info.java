/** Outcomes of requests and the figures made of them. */
package org.parsleyhead.load.result;
