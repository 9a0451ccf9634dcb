/**
 * Fault-injecting TCP proxy.
 */
package org.anvillatch.testbed.proxy;
