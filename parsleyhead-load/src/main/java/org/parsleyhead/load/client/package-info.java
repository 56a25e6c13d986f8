/** The HTTP client that sends planned requests. */
package org.parsleyhead.load.client;
