package org.parsleyhead.standin.mesh;

import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.HostName;

/**
 * An entry host of a mesh.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name in the host list
 * @param endpoint the endpoint that serves the host list for this host
 */
public record MeshHost(HostName name, Endpoint endpoint) {}
