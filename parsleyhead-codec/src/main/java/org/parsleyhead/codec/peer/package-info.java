/** MessagePack encoding of the messages between hosts. */
package org.parsleyhead.codec.peer;
