/**
 * At-most-once execution of non-idempotent requests.
 */
package org.anvillatch.decision.idempotency;
