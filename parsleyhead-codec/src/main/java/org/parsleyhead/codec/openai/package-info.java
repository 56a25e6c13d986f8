/** The parts of the OpenAI HTTP API that the system reads and writes. */
package org.parsleyhead.codec.openai;
