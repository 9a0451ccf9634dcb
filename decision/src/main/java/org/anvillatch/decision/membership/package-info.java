/**
 * Failure detection and dissemination of members (SWIM).
 */
package org.anvillatch.decision.membership;
