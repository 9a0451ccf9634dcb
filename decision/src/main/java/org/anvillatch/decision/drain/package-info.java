/**
 * Life cycle of an endpoint from announcement to departure.
 */
package org.anvillatch.decision.drain;
