/**
 * The demonstration of the whole path.
 */
package org.anvillatch.testbed.demo;
