/**
 * Recorded histories of what callers and endpoints observed, and the checker that verifies the system's guarantees on
 * them.
 */
package org.anvillatch.testbed.history;
