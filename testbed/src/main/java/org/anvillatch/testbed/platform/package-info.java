/**
 * Stand-in for the platform's log service.
 */
package org.anvillatch.testbed.platform;
