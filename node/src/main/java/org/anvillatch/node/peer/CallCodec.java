package org.anvillatch.node.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

import org.anvillatch.decision.model.EndpointNotice;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Outcome;
import org.anvillatch.decision.model.RefusalReason;
import org.anvillatch.decision.model.ServiceTimeReport;
import org.anvillatch.decision.quarantine.CrashSuspects;
import org.anvillatch.decision.rejection.CallProgress;
import org.anvillatch.decision.rejection.CallStart;
import org.anvillatch.decision.rejection.ServiceRejection;
import org.anvillatch.node.call.CallAnswer;
import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.call.CallContext;
import org.anvillatch.node.call.DispatchMessage;
import org.anvillatch.node.call.HeaderField;
import org.anvillatch.node.call.RequestHead;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the two messages of every call, {@link DispatchMessage} and {@link CallAnswer}, field by field,
 * because a mapper that uses reflection costs several times as much in a process that has served only few calls. Enum
 * constants are encoded by their ordinals, so new constants may only be appended. Stateless and thread safe.
 */
final class CallCodec {
    /** The size of the initial buffer, in bytes, suffices for a typical call without its body. */
    private static final MessagePack.PackerConfig PACKER = new MessagePack.PackerConfig().withBufferSize(1_024);

    /**
     * The string buffer, in characters, is small because it is used only for strings that span two inputs. Each message
     * is a single input, so all its strings are decoded in place.
     */
    private static final MessagePack.UnpackerConfig UNPACKER =
            new MessagePack.UnpackerConfig().withStringDecoderBufferSize(128);

    private CallCodec() {}

    static byte[] encode(DispatchMessage message) throws IOException {
        try (MessageBufferPacker packer = PACKER.newBufferPacker()) {
            CallContext context = message.context();
            packer.packString(context.root())
                    .packInt(context.attempt())
                    .packString(context.isNested() ? context.path() : "")
                    .packInt(context.rank())
                    .packBoolean(context.atMostOnce())
                    .packString(context.traceparent());
            packer.packString(message.operation().service())
                    .packString(message.operation().operation())
                    .packBoolean(message.idempotent());
            pack(packer, message.body());
            packer.packString(message.fingerprint())
                    .packLong(message.remainingMicros())
                    .packInt(message.retries());
            if (message.head() == null) {
                packer.packNil();
            } else {
                packer.packString(message.head().method())
                        .packString(message.head().target());
                pack(packer, message.head().headers());
            }
            pack(packer, message.notice());
            packer.packString(context.team()).packString(context.keyId());
            packer.packInt(message.progress().start().ordinal())
                    .packInt(message.progress().completedCalls())
                    .packBoolean(message.progress().chosen());
            return packer.toByteArray();
        }
    }

    static DispatchMessage decodeDispatch(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = UNPACKER.newUnpacker(bytes)) {
            String root = unpacker.unpackString();
            int attempt = unpacker.unpackInt();
            String path = unpacker.unpackString();
            int rank = unpacker.unpackInt();
            boolean atMostOnce = unpacker.unpackBoolean();
            String traceparent = unpacker.unpackString();
            OperationName operation = new OperationName(unpacker.unpackString(), unpacker.unpackString());
            boolean idempotent = unpacker.unpackBoolean();
            CallBody body = unpackBody(unpacker, bytes.length);
            String fingerprint = unpacker.unpackString();
            long remainingMicros = unpacker.unpackLong();
            int retries = unpacker.unpackInt();
            RequestHead head = null;
            if (!unpacker.tryUnpackNil()) {
                head = new RequestHead(unpacker.unpackString(), unpacker.unpackString(), unpackHeaders(unpacker));
            }
            EndpointNotice notice = unpackNotice(unpacker);
            // Earlier versions of a node send neither the team nor the id of the key.
            boolean namesTeam = unpacker.hasNext();
            CallContext context = new CallContext(
                    root,
                    attempt,
                    path.isEmpty() ? root : path,
                    rank,
                    atMostOnce,
                    traceparent,
                    namesTeam ? unpacker.unpackString() : "",
                    namesTeam ? unpacker.unpackString() : "");
            return new DispatchMessage(
                    context,
                    operation,
                    idempotent,
                    body,
                    fingerprint,
                    remainingMicros,
                    retries,
                    head,
                    notice,
                    unpackProgress(unpacker));
        }
    }

    static byte[] encode(CallAnswer answer) throws IOException {
        try (MessageBufferPacker packer = PACKER.newBufferPacker()) {
            pack(packer, answer.outcome());
            pack(packer, answer.reason());
            packer.packInt(answer.status());
            pack(packer, answer.body());
            packer.packInt(answer.unspentRetries())
                    .packInt(answer.report().level())
                    .packInt(answer.report().inFlight())
                    .packLong(answer.report().durationMicros())
                    .packLong(answer.report().queuedMicros())
                    .packBoolean(answer.report().endpointFault());
            pack(packer, answer.firstOutcome());
            packer.packString(answer.host()).packString(answer.detail());
            packer.packArrayHeader(answer.suspicions().size());
            for (CrashSuspects.Suspicion suspicion : answer.suspicions()) {
                packer.packString(suspicion.fingerprint()).packString(suspicion.crash());
            }
            pack(packer, answer.headers());
            pack(packer, answer.report().notice());
            packRejections(packer, answer.report());
            pack(packer, answer.report().serviceTime());
            return packer.toByteArray();
        }
    }

    static CallAnswer decodeAnswer(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = UNPACKER.newUnpacker(bytes)) {
            Outcome outcome = unpackEnum(unpacker, Outcome.values());
            RefusalReason reason = unpackEnum(unpacker, RefusalReason.values());
            int status = unpacker.unpackInt();
            CallBody body = unpackBody(unpacker, bytes.length);
            int unspentRetries = unpacker.unpackInt();
            int level = unpacker.unpackInt();
            int inFlight = unpacker.unpackInt();
            long durationMicros = unpacker.unpackLong();
            long queuedMicros = unpacker.unpackLong();
            boolean endpointFault = unpacker.unpackBoolean();
            Outcome firstOutcome = unpackEnum(unpacker, Outcome.values());
            String host = unpacker.unpackString();
            String detail = unpacker.unpackString();
            int count = unpacker.unpackArrayHeader();
            List<CrashSuspects.Suspicion> suspicions = new ArrayList<>();
            for (int index = 0; index < count; index++) {
                suspicions.add(new CrashSuspects.Suspicion(unpacker.unpackString(), unpacker.unpackString()));
            }
            List<HeaderField> headers = unpackHeaders(unpacker);
            CallAnswer.LoadReport report = unpackRejections(
                            unpacker,
                            new CallAnswer.LoadReport(
                                    level,
                                    inFlight,
                                    durationMicros,
                                    queuedMicros,
                                    endpointFault,
                                    unpackNotice(unpacker)))
                    .withServiceTime(unpackServiceTime(unpacker));
            return new CallAnswer(
                    outcome,
                    reason,
                    status,
                    body,
                    unspentRetries,
                    report,
                    firstOutcome,
                    host,
                    detail,
                    suspicions,
                    headers);
        }
    }

    private static void pack(MessageBufferPacker packer, CallBody body) throws IOException {
        packer.packString(body.contentType()).packBinaryHeader(body.length());
        for (ByteBuffer segment : body.segments()) {
            packer.writePayload(segment.array(), segment.arrayOffset() + segment.position(), segment.remaining());
        }
    }

    private static CallBody unpackBody(MessageUnpacker unpacker, int messageLength) throws IOException {
        String contentType = unpacker.unpackString();
        int length = unpacker.unpackBinaryHeader();
        // Checked before the body is allocated: the length may be any number.
        if (length > messageLength) {
            throw new IOException("body of " + length + " bytes in a message of " + messageLength + " bytes");
        }
        return new CallBody(contentType, unpacker.readPayload(length));
    }

    private static void pack(MessageBufferPacker packer, EndpointNotice notice) throws IOException {
        if (notice == null) {
            packer.packNil();
        } else {
            packer.packString(notice.instance())
                    .packDouble(notice.maxRequestsPerSecond())
                    .packBoolean(notice.leaving());
        }
    }

    /** Unpacks a component of a message that earlier versions of a node do not send. */
    private static EndpointNotice unpackNotice(MessageUnpacker unpacker) throws IOException {
        if (!unpacker.hasNext() || unpacker.tryUnpackNil()) {
            return null;
        }
        return new EndpointNotice(unpacker.unpackString(), unpacker.unpackDouble(), unpacker.unpackBoolean());
    }

    private static CallProgress unpackProgress(MessageUnpacker unpacker) throws IOException {
        if (!unpacker.hasNext()) {
            return CallProgress.NONE;
        }
        return new CallProgress(
                unpackEnum(unpacker, CallStart.values()), unpacker.unpackInt(), unpacker.unpackBoolean());
    }

    private static void pack(MessageBufferPacker packer, ServiceTimeReport time) throws IOException {
        if (time == null) {
            packer.packNil();
        } else {
            packer.packLong(time.usualMicros()).packInt(time.pacePercent());
        }
    }

    /** Unpacks a component of a message that earlier versions of a node do not send. */
    private static ServiceTimeReport unpackServiceTime(MessageUnpacker unpacker) throws IOException {
        if (!unpacker.hasNext() || unpacker.tryUnpackNil()) {
            return null;
        }
        return new ServiceTimeReport(unpacker.unpackLong(), unpacker.unpackInt());
    }

    private static void packRejections(MessageBufferPacker packer, CallAnswer.LoadReport report) throws IOException {
        packer.packBoolean(report.retryGranted())
                .packArrayHeader(report.rejections().size());
        for (ServiceRejection rejection : report.rejections()) {
            packer.packString(rejection.service())
                    .packDouble(rejection.ratio())
                    .packInt(rejection.level())
                    .packDouble(rejection.calls());
        }
    }

    private static CallAnswer.LoadReport unpackRejections(MessageUnpacker unpacker, CallAnswer.LoadReport report)
            throws IOException {
        if (!unpacker.hasNext()) {
            return report;
        }
        boolean granted = unpacker.unpackBoolean();
        int count = unpacker.unpackArrayHeader();
        List<ServiceRejection> rejections = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            rejections.add(new ServiceRejection(
                    unpacker.unpackString(), unpacker.unpackDouble(), unpacker.unpackInt(), unpacker.unpackDouble()));
        }
        return report.withRejections(rejections, granted);
    }

    private static void pack(MessageBufferPacker packer, List<HeaderField> headers) throws IOException {
        packer.packArrayHeader(headers.size());
        for (HeaderField field : headers) {
            packer.packString(field.name()).packString(field.value());
        }
    }

    private static List<HeaderField> unpackHeaders(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        List<HeaderField> headers = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            headers.add(new HeaderField(unpacker.unpackString(), unpacker.unpackString()));
        }
        return headers;
    }

    private static void pack(MessageBufferPacker packer, Enum<?> constant) throws IOException {
        if (constant == null) {
            packer.packNil();
        } else {
            packer.packInt(constant.ordinal());
        }
    }

    private static <E> E unpackEnum(MessageUnpacker unpacker, E[] values) throws IOException {
        return unpacker.tryUnpackNil() ? null : values[unpacker.unpackInt()];
    }
}
