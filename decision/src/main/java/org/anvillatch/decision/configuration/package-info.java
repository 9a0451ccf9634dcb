/**
 * The operators' configuration, stored as versioned records in the platform's log.
 */
package org.anvillatch.decision.configuration;
