/**
 * Stand-in endpoints with slots, service times, nested calls and faults.
 */
package org.anvillatch.testbed.endpoint;
