package org.anvillatch.node.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.anvillatch.decision.configuration.Configuration;
import org.anvillatch.decision.configuration.ConfigurationChange;
import org.anvillatch.decision.configuration.ConfigurationRecord;
import org.anvillatch.decision.configuration.ConfigurationSnapshot;
import org.anvillatch.decision.configuration.OperationPolicy;
import org.anvillatch.decision.configuration.TeamPolicy;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.model.EndpointNotice;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.routing.RequestLimits;
import org.anvillatch.decision.routing.RequestRoute;
import org.anvillatch.decision.routing.RouteTable;
import org.anvillatch.decision.routing.WeightedService;
import org.anvillatch.decision.team.ApiKeyHash;
import org.anvillatch.decision.team.Team;
import org.anvillatch.node.call.CallAnswer;
import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.call.CallContext;
import org.anvillatch.node.call.DispatchMessage;
import org.anvillatch.node.call.HeaderField;
import org.anvillatch.node.call.KeyedCallMessage;
import org.anvillatch.node.call.RequestHead;
import org.anvillatch.node.decisionlog.Decision;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FrameCodecTest {
    private static final Member MEMBER = new Member(
            new HostIdentity("glossary-1", 1_796_361_221_870L),
            3,
            "127.0.2.1:7403",
            "pal-b",
            "glossary",
            15,
            EndpointPhase.SERVING,
            MemberStatus.ALIVE,
            0);

    private static final ConfigurationChange TEAM =
            new ConfigurationChange.Team("blue", new TeamPolicy("normal", 3, 4, List.of(ApiKeyHash.of("key-1"))));

    private static PeerMessage encodeAndDecode(PeerMessage message) throws FrameException {
        ByteBuffer bytes = FrameCodec.encode(new Frame(77, true, message));
        Optional<Frame> frame = FrameCodec.decode(bytes);
        assertThat(frame.get().correlation()).isEqualTo(77);
        assertThat(frame.get().answer()).isTrue();
        assertThat(bytes.hasRemaining()).isFalse();
        return frame.get().message();
    }

    @Test
    void pingRoundTrips() throws FrameException {
        PeerMessage ping = new ControlMessages.Ping(MEMBER, List.of(MEMBER), 4);
        assertThat(encodeAndDecode(ping)).isEqualTo(ping);
    }

    @Test
    void configurationRoundTrips() throws FrameException {
        ConfigurationRecord entry =
                new ConfigurationRecord("c", 1, "me", 2, List.of(new ConfigurationChange.RetryBound(3), TEAM), null, 0);
        PeerMessage message = new ControlMessages.ConfigurationAnswer(
                new ConfigurationSnapshot(Configuration.EMPTY, 5, List.of(), 0),
                List.of(new ControlMessages.PositionedRecord(6, entry)),
                "host",
                "domain");
        assertThat(encodeAndDecode(message)).isEqualTo(message);
    }

    @Test
    void dispatchRoundTrips() throws FrameException {
        DispatchMessage message = new DispatchMessage(
                new CallContext("2-root", 1, "2-root", 300, true, "", "blue", "0123456789abcdef"),
                new OperationName("desk", "apply"),
                false,
                new CallBody("text/plain", new byte[] {1, 2, 3}),
                "00ff",
                900_000,
                2,
                new RequestHead("GET", "/a/b?c=d", List.of(new HeaderField("Accept", "*/*"))),
                new EndpointNotice("i@1", 24.5, true));
        DispatchMessage decoded = (DispatchMessage) encodeAndDecode(message);
        assertThat(decoded.context()).isEqualTo(message.context());
        assertThat(decoded.head()).isEqualTo(message.head());
        assertThat(decoded.notice()).isEqualTo(message.notice());
        assertThat(decoded.operation()).isEqualTo(message.operation());
        assertThat(decoded.body().content()).isEqualTo(message.body().content());
    }

    @Test
    void answerRoundTrips() throws FrameException {
        CallAnswer.LoadReport report =
                new CallAnswer.LoadReport(1, 2, 3, 4, true, new EndpointNotice("i@1", Double.POSITIVE_INFINITY, true));
        CallAnswer answer = CallAnswer.unknown("no answer", "host", List.of()).withReport(report);
        CallAnswer decoded = (CallAnswer) encodeAndDecode(answer);
        assertThat(decoded.outcome()).isEqualTo(answer.outcome());
        assertThat(decoded.report()).isEqualTo(report);
        assertThat(decoded.detail()).isEqualTo(answer.detail());
    }

    /** Guards against a rolling update in which nodes of the earlier version are not understood. */
    @Test
    void answerOfAnEarlierVersionNamesNoRestriction() throws IOException {
        byte[] bytes = CallCodec.encode(CallAnswer.unknown("no answer", "host", List.of()));
        byte[] withoutNotice = Arrays.copyOf(bytes, bytes.length - 1);
        assertThat(CallCodec.decodeAnswer(withoutNotice).report()).isEqualTo(CallAnswer.LoadReport.NONE);
    }

    private static PeerMessage decodeHex(String hex) throws FrameException {
        return FrameCodec.decode(ByteBuffer.wrap(HexFormat.of().parseHex(hex)))
                .get()
                .message();
    }

    private static RouteTable tableWithTeam() {
        RequestRoute route =
                new RequestRoute("r", "h", "/x/", List.of(new WeightedService("s", 1)), true, 800, 500, 14, 2, true);
        Team team = new Team("blue", 3, 12.5, 20, List.of(ApiKeyHash.of("key-1")));
        return new RouteTable(7, List.of(route), Map.of("s", 3), new RequestLimits(1, 2, 3, 5), List.of(team));
    }

    /** Guards against hosts that learn the routes from another host and then accept requests without keys. */
    @Test
    void routeTableRoundTripsWithItsTeams() throws FrameException {
        PeerMessage message = new ControlMessages.RouteTableAnswer(tableWithTeam());
        assertThat(encodeAndDecode(message)).isEqualTo(message);
    }

    @Test
    void contextAndDecisionRoundTripWithTheirTeam() throws FrameException {
        CallContext context = new CallContext("r", 0, "r.1", 0, false, "", "blue", "id");
        KeyedCallMessage keyed = new KeyedCallMessage(
                context, new OperationName("s", "o"), new OperationPolicy("", true, 1), CallBody.EMPTY, "k", "f", 5, 2);
        assertThat(((KeyedCallMessage) encodeAndDecode(keyed)).context()).isEqualTo(context);
        Decision decision =
                new Decision(1, "n", Decision.Kind.ROUTE, "r", 0, "s/o", 3, "c", "chosen", "", 4, 5, "blue");
        PeerMessage decisions = new ControlMessages.DecisionsAnswer(List.of(decision));
        assertThat(encodeAndDecode(decisions)).isEqualTo(decisions);
    }

    /** The frames of an earlier version were recorded with its own codec. */
    @Test
    void framesOfAnEarlierVersionNameNoTeam() throws FrameException {
        ControlMessages.RouteTableAnswer routes = (ControlMessages.RouteTableAnswer)
                decodeHex("0000002fa417140000000000000000019194079199a172a168a32f782f9192a17301c3cd0320cd01f40e0281a173"
                        + "0393010203");
        assertThat(routes.table().teams()).isNull();
        assertThat(routes.table().routes()).hasSize(1);
        assertThat(routes.table().routes().get(0).isPublic()).isFalse();
        CallContext context = new CallContext("r", 0, "r.1", 0, false, "");
        KeyedCallMessage keyed = (KeyedCallMessage) decodeHex(
                "0000002ca417080000000000000000019897a17200a3722e3100c2a0c392a173a16f93a0c30192a0c400a16ba1660502");
        assertThat(keyed.context()).isEqualTo(context);
        DispatchMessage dispatch = (DispatchMessage)
                decodeHex("00000024a41705000000000000000001a17200a3722e3100c2a0a173a16fc3a0c400a1660502c0c0");
        assertThat(dispatch.context()).isEqualTo(context);
        assertThat(dispatch.retries()).isEqualTo(2);
        ControlMessages.ConfigurationAnswer answer = (ControlMessages.ConfigurationAnswer)
                decodeHex("00000026a4170a000000000000000001949498ff91a66e6f726d616c80029090909005900090a168a164");
        assertThat(answer.snapshot().configuration()).isEqualTo(Configuration.EMPTY);
        ControlMessages.DecisionsAnswer decisions = (ControlMessages.DecisionsAnswer)
                decodeHex("00000028a4170e00000000000000000191919d01a16e00a17200a3732f6f03a163a663686f73656ea00405c3");
        assertThat(decisions.decisions().get(0).team()).isEmpty();
        assertThat(decisions.decisions().get(0).retriesLeft()).isEqualTo(5);
    }

    @Test
    void incompleteFrameIsNotConsumed() throws FrameException {
        ByteBuffer bytes = FrameCodec.encode(new Frame(1, false, new ControlMessages.StatusRequest()));
        ByteBuffer incomplete = bytes.duplicate().limit(bytes.limit() - 1);
        assertThat(FrameCodec.decode(incomplete)).isEmpty();
        assertThat(incomplete.position()).isEqualTo(0);
    }

    @Test
    void oversizedFrameIsRejectedBeforeItsBodyArrives() {
        ByteBuffer bytes = ByteBuffer.allocate(8)
                .putInt(FrameCodec.MAX_FRAME_BYTES + 1)
                .putInt(0)
                .flip();
        FrameException rejection = assertThrows(FrameException.class, () -> FrameCodec.decode(bytes));
        assertThat(rejection).hasMessageThat().contains("frame length");
    }

    @Test
    void otherProtocolsAreRejected() {
        ByteBuffer bytes = ByteBuffer.wrap("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
        assertThrows(FrameException.class, () -> FrameCodec.decode(bytes));
    }

    @Property(tries = 3000, seed = "9")
    void arbitraryBytesDecodeOrAreRejected(@ForAll @Size(max = 200) byte[] body, @ForAll byte kind) {
        ByteBuffer bytes = ByteBuffer.allocate(body.length + 16);
        bytes.putInt(body.length + 12)
                .putShort((short) 0xA417)
                .put(kind)
                .put((byte) 0)
                .putLong(1)
                .put(body)
                .flip();
        try {
            FrameCodec.decode(bytes);
        } catch (FrameException rejected) {
            assertThat(rejected).hasMessageThat().isNotEmpty();
        }
    }
}
