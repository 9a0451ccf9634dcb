/**
 * Membership of hosts: failure detection and dissemination of updates (SWIM).
 */
package org.anvillatch.decision.membership;
