/**
 * Stand-ins for endpoints, callers and the platform, fault injection and experiments. Not part of any shipped binary.
 */
package org.anvillatch.testbed;
