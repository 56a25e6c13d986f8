/** The HTTP client that sends the planned requests of a load run. */
package org.parsleyhead.load.client;
