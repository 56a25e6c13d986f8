/** Model checking of the ownership and quota protocols with Alloy. */
package org.parsleyhead.model;
