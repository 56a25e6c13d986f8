/** HTTP server for callers: HTTP/1.1 and HTTP/2 on one port. */
package org.parsleyhead.entry.callers;
