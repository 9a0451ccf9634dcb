package org.anvillatch.testbed.experiment;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

import org.anvillatch.node.endpoint.CallHeaders;
import org.anvillatch.testbed.endpoint.NestedCallSender;
import org.anvillatch.testbed.load.CallTarget;
import org.anvillatch.testbed.load.HttpSender;
import org.anvillatch.testbed.site.OperationSpec;
import org.anvillatch.testbed.site.RunningSite;

/**
 * Sends calls without nodes, each to a random endpoint of the service, with a fixed number of retries at each hop.
 * Thread safe.
 */
final class DirectCalls implements NestedCallSender, CallTarget {
    private final int retries;
    private volatile RunningSite site;

    DirectCalls(int retries) {
        this.retries = retries;
    }

    void setSite(RunningSite newSite) {
        site = newSite;
    }

    private String addressFor(String operation, RandomGenerator random) {
        String service = operation.substring(0, operation.indexOf('/'));
        List<RunningSite.Host> hosts = site.hosts().stream()
                .filter(host -> host.endpoint().service().name().equals(service))
                .toList();
        return hosts.get(random.nextInt(hosts.size())).endpoint().address();
    }

    @Override
    public String url(String operation, RandomGenerator random) {
        return "http://" + addressFor(operation, random) + "/" + operation.substring(operation.indexOf('/') + 1);
    }

    @Override
    public String keyUrl(RandomGenerator random) {
        return null;
    }

    @Override
    public void send(NestedCall nested, HttpSender.AnswerListener listener) {
        send(nested, 0, listener);
    }

    private void send(NestedCall nested, int attempt, HttpSender.AnswerListener listener) {
        OperationSpec operation = site.spec().operation(nested.operation());
        Map<String, String> headers = new HashMap<>();
        headers.put(CallHeaders.REQUEST_ID, nested.root());
        headers.put(CallHeaders.ATTEMPT, Integer.toString(nested.attempt()));
        headers.put(CallHeaders.CALL_PATH, nested.context() + ":" + nested.number());
        String url = url(nested.operation(), ThreadLocalRandom.current());
        site.sender().post(url, headers, nested.body(), operation.deadlineMillis(), answer -> {
            boolean again = !answer.outcome().equals("complete") && attempt < retries;
            if (again) {
                send(nested, attempt + 1, listener);
            } else {
                listener.onAnswer(answer);
            }
        });
    }
}
