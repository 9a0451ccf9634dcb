/**
 * Stand-in endpoints with slots, service times, nested calls and injectable faults.
 */
package org.anvillatch.testbed.endpoint;
