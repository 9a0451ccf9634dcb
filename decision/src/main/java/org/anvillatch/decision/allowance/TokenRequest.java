package org.anvillatch.decision.allowance;

/**
 * Request of a host to the owner of a slot. Immutable and thread safe.
 *
 * @param slot the slot
 * @param needed number of requests that wait for a token
 * @param wanted number of further tokens for the requests that are expected next
 * @param unused number of tokens that are given back
 * @param refused number of the team's requests that this host has refused and not reported yet
 */
public record TokenRequest(SlotId slot, int needed, int wanted, int unused, int refused) {
    /** Replaces negative numbers, which another host may send, by 0. */
    public TokenRequest {
        needed = Math.max(0, needed);
        wanted = Math.max(0, wanted);
        unused = Math.max(0, unused);
        refused = Math.max(0, refused);
    }
}
