/**
 * At-most-once execution of non-idempotent requests by idempotency keys.
 */
package org.anvillatch.decision.idempotency;
