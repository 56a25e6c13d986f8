package org.parsleyhead.standin.mesh;

import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.HostName;

/**
 * One entry host of a mesh.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host its name in the host list
 * @param endpoint where its own host list is served
 */
public record MeshHost(HostName host, Endpoint endpoint) {}
