/** Queueing of model requests, pins for their adapters, and dispatch to engines. */
package org.parsleyhead.core.scheduling;
