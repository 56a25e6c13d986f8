/** Parsers for the supported parts of the OpenAI HTTP API. */
package org.parsleyhead.codec.openai;
