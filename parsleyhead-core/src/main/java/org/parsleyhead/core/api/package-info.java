/** Identifiers, times, errors and the form of a transition, shared by all parts of the core. */
package org.parsleyhead.core.api;
