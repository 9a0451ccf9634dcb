package org.anvillatch.testbed.demo;

import org.anvillatch.testbed.platform.LogStandIn;

/**
 * Runs the stand-in log service as a separate process. Stateless.
 */
public final class LogMain {
    private LogMain() {}

    /**
     * Serves requests until the process ends or its standard input is closed.
     *
     * @param arguments the port, 0 for any free port
     * @return exit status, always 0
     * @throws Exception if the service cannot listen
     */
    public static int run(String[] arguments) throws Exception {
        try (LogStandIn log = new LogStandIn(Integer.parseInt(arguments[0]))) {
            System.out.println("log service at " + log.address());
            // The parent process holds the other end of standard input, so this process exits when the parent does.
            while (System.in.read() >= 0) {
                Thread.onSpinWait();
            }
        }
        return 0;
    }
}
