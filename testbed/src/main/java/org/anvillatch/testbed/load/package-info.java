/**
 * Open-loop load generation: stand-in callers and the HTTP sender that they and the stand-in endpoints use.
 */
package org.anvillatch.testbed.load;
