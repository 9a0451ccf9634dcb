/**
 * Bounds on retries: the budget of one root request and the ratio of one service.
 */
package org.anvillatch.decision.retry;
