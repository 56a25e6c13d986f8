/** Queues of model requests and their dispatch to engines. */
package org.parsleyhead.core.scheduling;
