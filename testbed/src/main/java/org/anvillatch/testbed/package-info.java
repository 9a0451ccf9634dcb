/**
 * Stand-ins, fault injection and experiments. Ships in no binary.
 */
package org.anvillatch.testbed;
