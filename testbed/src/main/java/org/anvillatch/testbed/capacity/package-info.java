/**
 * Slopes of state, messages and processor time, measured on the real decision and message code.
 */
package org.anvillatch.testbed.capacity;
