/** A stand-in for a model server with continuous batching under LoRA adapters. */
package org.parsleyhead.standin.engine;
