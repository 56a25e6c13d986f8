/** The load generator: sends load on a fixed schedule and verifies every response. */
package org.parsleyhead.load;
