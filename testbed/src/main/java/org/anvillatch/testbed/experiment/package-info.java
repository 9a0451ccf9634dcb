/**
 * Experiments and their measurements.
 */
package org.anvillatch.testbed.experiment;
