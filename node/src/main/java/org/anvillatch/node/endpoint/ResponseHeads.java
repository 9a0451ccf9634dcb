package org.anvillatch.node.endpoint;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;

/** Checks the heads of responses that an HTTP parser has accepted. Stateless and thread safe. */
public final class ResponseHeads {
    /** Largest status that HTTP defines. */
    private static final int MAX_STATUS = 599;

    private ResponseHeads() {}

    /**
     * Checks whether a response can be forwarded to a caller. The node asks for no encodings and forwards none of the fields
     * that name them, so an encoded body would not be the endpoint's.
     *
     * @param status status of the response, not that of an interim response
     * @param fields header fields of the response
     * @return the problem, or null if there is none
     */
    public static String findProblem(int status, HttpFields fields) {
        if (status < HttpStatus.OK_200 || status > MAX_STATUS) {
            // The node never asks to switch protocols, so 101 is not valid either.
            return "the response has the invalid status " + status;
        }
        if (fields.contains(HttpHeader.CONTENT_ENCODING)) {
            return "the response has a content encoding";
        }
        String transferEncoding = fields.get(HttpHeader.TRANSFER_ENCODING);
        return transferEncoding == null || HttpHeaderValue.CHUNKED.is(transferEncoding)
                ? null
                : "the response has the transfer encoding " + transferEncoding;
    }
}
