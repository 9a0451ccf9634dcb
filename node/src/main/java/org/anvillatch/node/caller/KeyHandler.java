package org.anvillatch.node.caller;

import java.util.ArrayList;
import java.util.List;

import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * Issues idempotency keys: {@code POST /v1/keys?count=N}. Thread safe; keys are issued on the decision loop.
 */
public final class KeyHandler extends Handler.Abstract.NonBlocking {
    /** Maximum number of keys issued by one request. */
    public static final int MAX_KEYS_PER_REQUEST = 100;

    private static final String PATH = "/v1/keys";
    private static final int CREATED = 201;
    private static final int BAD_REQUEST = 400;

    private final DecisionLoop loop;
    private final HostState state;

    private record Keys(List<String> keys) {}

    /**
     * Creates the handler.
     *
     * @param loop loop that runs decisions
     * @param state decision state of this host
     */
    public KeyHandler(DecisionLoop loop, HostState state) {
        this.loop = loop;
        this.state = state;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)) {
            return false;
        }
        if (!request.getMethod().equals("POST")) {
            HttpResponses.badRequest(response, 405, "method must be POST", callback);
            return true;
        }
        Fields fields = Request.extractQueryParameters(request);
        String count = fields.getValue("count");
        int requestedCount = parseCount(count);
        if (requestedCount < 1 || requestedCount > MAX_KEYS_PER_REQUEST) {
            String detail = "parameter count \"" + count + "\" is not a number from 1 to " + MAX_KEYS_PER_REQUEST;
            HttpResponses.badRequest(response, BAD_REQUEST, detail, callback);
        } else {
            loop.execute(() -> HttpResponses.json(response, CREATED, issueKeys(requestedCount), callback));
        }
        return true;
    }

    private static int parseCount(String count) {
        try {
            return count == null ? 1 : Integer.parseInt(count);
        } catch (NumberFormatException notANumber) {
            return -1;
        }
    }

    private Keys issueKeys(int requestedCount) {
        List<String> keys = new ArrayList<>();
        for (int index = 0; index < requestedCount; index++) {
            keys.add(state.ledger().issue().toString());
        }
        return new Keys(keys);
    }
}
