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
    /** Most keys issued by one request. */
    public static final int MOST_KEYS = 100;

    private static final String PATH = "/v1/keys";
    private static final int CREATED = 201;
    private static final int BAD_REQUEST = 400;

    private final DecisionLoop loop;
    private final HostState state;

    private record Keys(List<String> keys) {}

    /**
     * Creates the handler.
     *
     * @param loop runs decisions
     * @param state decision state of the host
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
        int wanted = parse(count);
        if (wanted < 1 || wanted > MOST_KEYS) {
            String detail = "parameter count \"" + count + "\" is not a number from 1 to " + MOST_KEYS;
            HttpResponses.badRequest(response, BAD_REQUEST, detail, callback);
        } else {
            loop.execute(() -> HttpResponses.json(response, CREATED, issue(wanted), callback));
        }
        return true;
    }

    private static int parse(String count) {
        try {
            return count == null ? 1 : Integer.parseInt(count);
        } catch (NumberFormatException notANumber) {
            return -1;
        }
    }

    private Keys issue(int wanted) {
        List<String> keys = new ArrayList<>();
        for (int index = 0; index < wanted; index++) {
            keys.add(state.ledger().issue().toString());
        }
        return new Keys(keys);
    }
}
