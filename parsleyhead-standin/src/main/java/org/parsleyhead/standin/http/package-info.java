/** A minimal HTTP/1.1 server that all stand-ins use. */
package org.parsleyhead.standin.http;
