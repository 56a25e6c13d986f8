/** Encodings of core messages in JSON and MessagePack. */
package org.parsleyhead.codec;
