/**
 * Histories of what callers, endpoints and operators saw, and the checker that judges them.
 */
package org.anvillatch.testbed.history;
