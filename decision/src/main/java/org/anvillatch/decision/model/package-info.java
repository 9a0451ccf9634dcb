/**
 * Values that are shared by all packages: outcomes, ranks, operations and hosts.
 */
package org.anvillatch.decision.model;
