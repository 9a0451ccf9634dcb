/**
 * Demonstration of a complete site in separate processes.
 */
package org.anvillatch.testbed.demo;
