package org.anvillatch.node;

import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Skips interim responses, any number of them, so that the final response is read. Jetty's own handlers skip those with
 * status 102 or 103 and a single one with status 100; a request that gets another one never completes, not even at its timeout.
 * Stateless and thread safe.
 */
final class InterimResponseHandler extends ProcessingProtocolHandler {
    private static final String NAME = "interim";

    @Override
    public String getName() {
        return NAME;
    }

    @Override
    public boolean accept(Request request, Response response) {
        int status = response.getStatus();
        return HttpStatus.isInformational(status) && status != HttpStatus.SWITCHING_PROTOCOLS_101;
    }
}
