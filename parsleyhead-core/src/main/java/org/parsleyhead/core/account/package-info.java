/** Authentication and authorization of callers. */
package org.parsleyhead.core.account;
