/**
 * Teams, their API keys and the order of their requests: decisions without I/O, threads or clocks.
 */
package org.anvillatch.decision.team;
