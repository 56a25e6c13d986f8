/** Exceptions of the JSON, MessagePack and OpenAI codecs. */
package org.parsleyhead.codec;
