/**
 * Choice of the endpoint for one call.
 */
package org.anvillatch.decision.routing;
