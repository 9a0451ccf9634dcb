/**
 * Faults of running sites, alone and in random pairs.
 */
package org.anvillatch.testbed.fault;
