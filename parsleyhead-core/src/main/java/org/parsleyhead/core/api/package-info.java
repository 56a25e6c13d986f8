/**
 * Identifiers, timestamps, exceptions and the transition interface that all parts of the core
 * share.
 */
package org.parsleyhead.core.api;
