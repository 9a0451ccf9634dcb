/**
 * Detection of requests that crash the endpoints which run them.
 */
package org.anvillatch.decision.quarantine;
