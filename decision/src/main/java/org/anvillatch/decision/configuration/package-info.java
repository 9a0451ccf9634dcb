/**
 * Operator intent as versioned records of the platform's log.
 */
package org.anvillatch.decision.configuration;
