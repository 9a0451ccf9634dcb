/**
 * Open-loop callers.
 */
package org.anvillatch.testbed.load;
