/** MessagePack encoding of the messages between entry hosts. */
package org.parsleyhead.codec.peer;
