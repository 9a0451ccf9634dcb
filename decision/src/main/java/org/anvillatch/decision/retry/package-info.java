/**
 * Limits on retries: the budget of one root request and the token bucket of one service.
 */
package org.anvillatch.decision.retry;
