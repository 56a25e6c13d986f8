/**
 * The life cycle of a request on one host: admission, choice of an instance, attempts, retries and
 * deadlines.
 */
package org.parsleyhead.core.dispatch;
