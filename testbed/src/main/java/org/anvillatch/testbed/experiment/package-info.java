/**
 * Overload and fault experiments and their measurements.
 */
package org.anvillatch.testbed.experiment;
