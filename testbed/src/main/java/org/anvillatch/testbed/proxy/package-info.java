/**
 * TCP proxy that injects network faults.
 */
package org.anvillatch.testbed.proxy;
