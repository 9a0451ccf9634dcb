package org.anvillatch.testbed.demo;

import org.anvillatch.testbed.platform.LogStandIn;

/**
 * The stand-in log service as a process of its own. Stateless.
 */
public final class LogMain {
    private LogMain() {}

    /**
     * Serves until the process is ended or its standard input closes.
     *
     * @param arguments the port
     * @return exit status
     * @throws Exception if the service cannot listen
     */
    public static int run(String[] arguments) throws Exception {
        try (LogStandIn log = new LogStandIn(Integer.parseInt(arguments[0]))) {
            System.out.println("log service at " + log.address());
            // The parent holds the other end: if it goes away, so does this process.
            while (System.in.read() >= 0) {
                Thread.onSpinWait();
            }
        }
        return 0;
    }
}
