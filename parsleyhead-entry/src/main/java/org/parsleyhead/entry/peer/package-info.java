/** The transport of messages between entry hosts: TCP with length-prefixed frames. */
package org.parsleyhead.entry.peer;
