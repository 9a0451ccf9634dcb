package org.anvillatch.testbed;

import java.util.Arrays;

import org.anvillatch.testbed.demo.CallersMain;
import org.anvillatch.testbed.demo.Demo;
import org.anvillatch.testbed.demo.LogMain;
import org.anvillatch.testbed.experiment.ExperimentMain;

/**
 * Entry point of the testbed's processes. Stateless.
 */
public final class TestbedMain {
    private static final int WRONG_ARGUMENTS = 2;

    private TestbedMain() {}

    /**
     * Runs one part of the testbed.
     *
     * @param arguments name of the part, then its arguments
     * @throws Exception if the part fails
     */
    public static void main(String[] arguments) throws Exception {
        String part = arguments.length == 0 ? "" : arguments[0];
        String[] rest = arguments.length == 0 ? arguments : Arrays.copyOfRange(arguments, 1, arguments.length);
        int status =
                switch (part) {
                    case "demo" -> Demo.run(rest);
                    case "experiment" -> ExperimentMain.run(rest);
                    case "log" -> LogMain.run(rest);
                    case "callers" -> CallersMain.run(rest);
                    default -> unknown(part);
                };
        System.exit(status);
    }

    private static int unknown(String part) {
        System.err.println("part \"" + part + "\" is none of: demo, experiment, log, callers");
        return WRONG_ARGUMENTS;
    }
}
