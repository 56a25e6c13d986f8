/**
 * Decides the lifecycle of each request on the host that received it: authorization, admission,
 * repeat check, dispatch, retry, resumption of streams and settlement.
 */
package org.parsleyhead.core.request;
