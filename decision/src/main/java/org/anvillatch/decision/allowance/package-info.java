/**
 * Allowances, the rate limits of teams over all hosts, divided into token buckets that are owned by single hosts.
 */
package org.anvillatch.decision.allowance;
