package org.anvillatch.testbed.endpoint;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Computes the answer of a stand-in endpoint to a request, so that callers can verify every byte. Stateless and thread
 * safe.
 */
public final class ExpectedAnswer {
    private static final int MIN_BYTES = 200;
    private static final int SIZE_RANGE_BYTES = 2_000;

    private ExpectedAnswer() {}

    /**
     * Computes the answer to a request.
     *
     * @param operation {@code service/operation}
     * @param body the request's body
     * @return the answer's body
     */
    public static byte[] of(String operation, byte[] body) {
        int hash = 31 * Arrays.hashCode(body) + operation.hashCode();
        byte[] line =
                ("answer to " + operation + " " + Integer.toHexString(hash) + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] answer = new byte[MIN_BYTES + Math.floorMod(hash, SIZE_RANGE_BYTES)];
        for (int index = 0; index < answer.length; index++) {
            answer[index] = line[index % line.length];
        }
        return answer;
    }

    /**
     * Checks whether an answer is the expected one.
     *
     * @param operation {@code service/operation}
     * @param body the request's body
     * @param answer the received body
     * @return true if every byte is as expected
     */
    public static boolean matches(String operation, byte[] body, byte[] answer) {
        return Arrays.equals(of(operation, body), answer);
    }
}
