/**
 * Decides how requests wait, and what refused callers are told, while there is more load than
 * capacity or no capacity is known yet. Independent of the messages that carry requests.
 */
package org.parsleyhead.core.overload;
