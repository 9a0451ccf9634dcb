/**
 * Stand-in of the platform's log service.
 */
package org.anvillatch.testbed.platform;
