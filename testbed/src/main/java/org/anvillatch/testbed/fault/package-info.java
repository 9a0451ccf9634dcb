/**
 * Faults injected into a running site, one at a time or in random pairs.
 */
package org.anvillatch.testbed.fault;
