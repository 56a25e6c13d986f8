/** A stand-in for a model server with continuous batching and LoRA adapters. */
package org.parsleyhead.standin.engine;
