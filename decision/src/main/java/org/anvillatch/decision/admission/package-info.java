/**
 * Admission control at one endpoint: slots, bounded queue, adaptive concurrency limit and shed level.
 */
package org.anvillatch.decision.admission;
