/**
 * Values shared by all slices: outcomes, ranks, operations and hosts.
 */
package org.anvillatch.decision.model;
