package org.anvillatch.node.endpoint;

/**
 * What an endpoint says of itself. Immutable and thread safe.
 *
 * @param service name of its service
 * @param address IP number and port for HTTP
 * @param slots executions that it can run at a time, at least 1
 * @param connections connections that it accepts, at least 1
 * @param instance identity of this run of the endpoint's process
 */
public record EndpointAnnouncement(String service, String address, int slots, int connections, String instance) {}
