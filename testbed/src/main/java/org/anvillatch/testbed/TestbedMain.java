package org.anvillatch.testbed;

import java.util.Arrays;

import org.anvillatch.testbed.capacity.CapacityMain;
import org.anvillatch.testbed.demo.CallersMain;
import org.anvillatch.testbed.demo.Demo;
import org.anvillatch.testbed.demo.LogMain;
import org.anvillatch.testbed.experiment.ExperimentMain;
import org.anvillatch.testbed.fault.FaultMain;

/**
 * Entry point of all testbed processes; the first argument names the part to run. Stateless.
 */
public final class TestbedMain {
    private static final int WRONG_ARGUMENTS = 2;

    private TestbedMain() {}

    /**
     * Runs one part of the testbed and exits with its status.
     *
     * @param arguments name of the part, followed by its arguments
     * @throws Exception if the part fails
     */
    public static void main(String[] arguments) throws Exception {
        String part = arguments.length == 0 ? "" : arguments[0];
        String[] rest = arguments.length == 0 ? arguments : Arrays.copyOfRange(arguments, 1, arguments.length);
        int status =
                switch (part) {
                    case "demo" -> Demo.run(rest);
                    case "experiment" -> experiment(rest);
                    case "log" -> LogMain.run(rest);
                    case "callers" -> CallersMain.run(rest);
                    default -> unknown(part);
                };
        System.exit(status);
    }

    private static int experiment(String[] arguments) throws Exception {
        String name = arguments.length == 0 ? "" : arguments[0];
        String[] rest = arguments.length == 0 ? arguments : Arrays.copyOfRange(arguments, 1, arguments.length);
        return switch (name) {
            case "fault" -> FaultMain.run(rest);
            case "capacity" -> CapacityMain.run(rest);
            default -> ExperimentMain.run(arguments);
        };
    }

    private static int unknown(String part) {
        System.err.println("part \"" + part + "\" is none of: demo, experiment, log, callers");
        return WRONG_ARGUMENTS;
    }
}
