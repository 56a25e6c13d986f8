/** The catalogue that operators publish as one numbered document: routes, services, accounts. */
package org.parsleyhead.core.serving;
