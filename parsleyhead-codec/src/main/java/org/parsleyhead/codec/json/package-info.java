/** JSON encoding of tickets, snapshots and host lists. */
package org.parsleyhead.codec.json;
