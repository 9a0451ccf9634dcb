/**
 * Detection and quarantine of requests that crash the endpoints that run them.
 */
package org.anvillatch.decision.quarantine;
