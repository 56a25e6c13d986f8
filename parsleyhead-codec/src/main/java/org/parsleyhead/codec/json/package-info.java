/** JSON codecs for tickets, snapshots and host lists. */
package org.parsleyhead.codec.json;
