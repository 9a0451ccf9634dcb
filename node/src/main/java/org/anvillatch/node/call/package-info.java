/**
 * Routing of calls on the sending host, and their admission and dispatch on the endpoint's host.
 */
package org.anvillatch.node.call;
