package org.anvillatch.node;

import java.io.IOException;

import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Skips interim responses, so that the final response is read. Jetty's own handlers skip those with status 102 or 103 and a
 * single one with status 100. A request that gets another one never completes, and one whose timeout expires while a response
 * is skipped may not complete either.
 *
 * <p>Invariant: a request with more than {@link #MAX_INTERIM_RESPONSES} fails as soon as they are read, on the thread that reads
 * them. Thread safe.
 */
final class InterimResponseHandler extends ProcessingProtocolHandler {
    /** Maximum number of interim responses to one request; servers send one or two. */
    static final int MAX_INTERIM_RESPONSES = 64;

    private static final String NAME = "interim";
    private static final String COUNT_ATTRIBUTE = InterimResponseHandler.class.getName();

    @Override
    public String getName() {
        return NAME;
    }

    @Override
    public boolean accept(Request request, Response response) {
        int status = response.getStatus();
        return HttpStatus.isInformational(status) && status != HttpStatus.SWITCHING_PROTOCOLS_101;
    }

    @Override
    protected void onProcessing(Request request, HttpFields fields) {
        int count = request.getAttributes().get(COUNT_ATTRIBUTE) instanceof Integer previous ? previous + 1 : 1;
        if (count > MAX_INTERIM_RESPONSES) {
            request.abort(new IOException("more than " + MAX_INTERIM_RESPONSES + " interim responses"));
        }
        request.attribute(COUNT_ATTRIBUTE, count);
    }
}
