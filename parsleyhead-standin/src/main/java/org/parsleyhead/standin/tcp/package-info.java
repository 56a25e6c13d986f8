/** Listening sockets that can be closed and opened again. */
package org.parsleyhead.standin.tcp;
