package org.anvillatch.node.endpoint;

/**
 * Announcement by which an endpoint registers with its host's node. Immutable and thread safe.
 *
 * @param service name of the endpoint's service
 * @param address IP address and port for HTTP
 * @param slots maximum number of concurrent executions, at least 1
 * @param connections maximum number of connections that the endpoint accepts, at least 1
 * @param instance identity of the endpoint's process, which changes with each start
 */
public record EndpointAnnouncement(String service, String address, int slots, int connections, String instance) {}
