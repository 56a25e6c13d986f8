/** The schedule of a load run, generated from its settings and a seed. */
package org.parsleyhead.load.plan;
