/**
 * Routing of a request to a service and choice of the endpoint for one call.
 */
package org.anvillatch.decision.routing;
