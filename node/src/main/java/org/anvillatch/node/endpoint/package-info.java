/**
 * Communication with this host's endpoint: dispatch of executions, and the endpoint's announcements and heartbeats.
 */
package org.anvillatch.node.endpoint;
