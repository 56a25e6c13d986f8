/** The schedule of a load, worked out from its settings and a seed. */
package org.parsleyhead.load.plan;
