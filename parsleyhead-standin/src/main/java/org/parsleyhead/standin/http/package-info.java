/** A small HTTP/1.1 server, shared by all stand-ins. */
package org.parsleyhead.standin.http;
