package org.anvillatch.testbed;

import java.util.Arrays;

import org.anvillatch.testbed.capacity.CapacityMain;
import org.anvillatch.testbed.demo.CallersMain;
import org.anvillatch.testbed.demo.Demo;
import org.anvillatch.testbed.demo.LogMain;
import org.anvillatch.testbed.experiment.ExperimentMain;
import org.anvillatch.testbed.fault.FaultMain;
import org.anvillatch.testbed.hostile.HostileMain;

/**
 * Entry point of all testbed processes; the first argument names the subcommand. Stateless.
 */
public final class TestbedMain {
    private static final int WRONG_ARGUMENTS = 2;

    private TestbedMain() {}

    /**
     * Runs one subcommand and exits with its status.
     *
     * @param arguments name of the subcommand, followed by its arguments
     * @throws Exception if the subcommand fails
     */
    public static void main(String[] arguments) throws Exception {
        String subcommand = arguments.length == 0 ? "" : arguments[0];
        String[] remaining = arguments.length == 0 ? arguments : Arrays.copyOfRange(arguments, 1, arguments.length);
        int status =
                switch (subcommand) {
                    case "demo" -> Demo.run(remaining);
                    case "experiment" -> experiment(remaining);
                    case "log" -> LogMain.run(remaining);
                    case "callers" -> CallersMain.run(remaining);
                    default -> unknown(subcommand);
                };
        System.exit(status);
    }

    private static int experiment(String[] arguments) throws Exception {
        String name = arguments.length == 0 ? "" : arguments[0];
        String[] remaining = arguments.length == 0 ? arguments : Arrays.copyOfRange(arguments, 1, arguments.length);
        return switch (name) {
            case "fault" -> FaultMain.run(remaining);
            case "hostile" -> HostileMain.run(remaining);
            case "capacity" -> CapacityMain.run(remaining);
            default -> ExperimentMain.run(arguments);
        };
    }

    private static int unknown(String subcommand) {
        System.err.println("part \"" + subcommand + "\" is none of: demo, experiment, log, callers");
        return WRONG_ARGUMENTS;
    }
}
