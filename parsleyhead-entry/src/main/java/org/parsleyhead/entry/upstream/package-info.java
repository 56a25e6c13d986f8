/** HTTP clients for upstreams and engines. */
package org.parsleyhead.entry.upstream;
