/**
 * Partial rejection by a service: which call trees get the retries that the bound permits, and which are refused.
 */
package org.anvillatch.decision.rejection;
