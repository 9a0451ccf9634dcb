/**
 * Admission at one endpoint: slots, bounded queue, adaptive limit and shed level.
 */
package org.anvillatch.decision.admission;
