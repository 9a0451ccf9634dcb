/**
 * Measures how memory, message sizes and CPU time grow with the size of the system, on the production code.
 */
package org.anvillatch.testbed.capacity;
