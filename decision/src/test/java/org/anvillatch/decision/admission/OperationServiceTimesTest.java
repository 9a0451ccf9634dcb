package org.anvillatch.decision.admission;

import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.ReportedLoad;
import org.anvillatch.decision.model.ServiceTimeReport;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class OperationServiceTimesTest {
    private static final OperationName READ = new OperationName("orders", "read");
    private static final OperationName WRITE = new OperationName("orders", "write");

    private final OperationServiceTimes times = new OperationServiceTimes();

    private void reportPace(int percent) {
        times.recordLoad(new ReportedLoad(1, 0, 8, percent));
    }

    @Test
    void nothingIsReportedForAnEndpointThatDoesNotTellItsPace() {
        times.recordLoad(null);
        times.recordLoad(new ReportedLoad(1, 0, 8, 0));
        times.addSample(READ, 1_000);
        assertThat(times.report(READ)).isNull();
    }

    @Test
    void operationsAreEstimatedSeparately() {
        reportPace(100);
        times.addSample(READ, 1_000);
        times.addSample(WRITE, 9_000);
        assertThat(times.report(READ)).isEqualTo(new ServiceTimeReport(1_000, 100));
        assertThat(times.report(WRITE)).isEqualTo(new ServiceTimeReport(9_000, 100));
    }

    @Test
    void slowMachineDoesNotChangeTheUsualTime() {
        reportPace(100);
        times.addSample(READ, 1_000);
        reportPace(250);
        times.addSample(READ, 2_500);
        ServiceTimeReport report = times.report(READ);
        assertThat(report.usualMicros()).isEqualTo(1_000);
        assertThat(report.microsAt(report.pacePercent())).isEqualTo(2_500);
    }

    /** Guards against an endpoint that draws all work by reporting that its machine is fast. */
    @Test
    void constantErrorOfThePaceCancelsOut() {
        reportPace(50);
        times.addSample(READ, 1_000);
        ServiceTimeReport report = times.report(READ);
        assertThat(report.microsAt(report.pacePercent())).isEqualTo(1_000);
    }

    /** Guards against a single absurd report that hides an endpoint or draws all work to it. */
    @Test
    void absurdPaceIsBounded() {
        reportPace(1_000_000);
        times.addSample(READ, 1_000);
        assertThat(times.report(READ).pacePercent()).isEqualTo(1_000);
        reportPace(1);
        assertThat(times.report(READ).pacePercent()).isEqualTo(25);
    }
}
