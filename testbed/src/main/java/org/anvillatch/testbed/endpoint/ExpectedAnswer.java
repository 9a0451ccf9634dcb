package org.anvillatch.testbed.endpoint;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The answer that a stand-in endpoint owes to a request, so that every byte can be checked. Stateless and thread safe.
 */
public final class ExpectedAnswer {
    private static final int MIN_BYTES = 200;
    private static final int SIZE_RANGE_BYTES = 2_000;

    private ExpectedAnswer() {}

    /**
     * Computes the answer.
     *
     * @param operation {@code service/operation}
     * @param body the request's bytes
     * @return the answer's bytes
     */
    public static byte[] of(String operation, byte[] body) {
        int hash = 31 * Arrays.hashCode(body) + operation.hashCode();
        byte[] unit =
                ("answer to " + operation + " " + Integer.toHexString(hash) + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] answer = new byte[MIN_BYTES + Math.floorMod(hash, SIZE_RANGE_BYTES)];
        for (int index = 0; index < answer.length; index++) {
            answer[index] = unit[index % unit.length];
        }
        return answer;
    }

    /**
     * Checks an answer.
     *
     * @param operation {@code service/operation}
     * @param body the request's bytes
     * @param answer the received bytes
     * @return true if every byte is right
     */
    public static boolean matches(String operation, byte[] body, byte[] answer) {
        return Arrays.equals(of(operation, body), answer);
    }
}
