/** The demonstration: a small fleet on one machine. */
package org.parsleyhead.integration.demo;
