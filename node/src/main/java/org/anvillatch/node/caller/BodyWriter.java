package org.anvillatch.node.caller;

import java.nio.ByteBuffer;

import org.anvillatch.node.call.CallBody;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingNestedCallback;

/**
 * Writes bodies segment by segment: the JDK copies what is written at once into a direct buffer of the same size, of
 * which the process has few. Stateless and thread safe.
 */
public final class BodyWriter {
    private BodyWriter() {}

    /**
     * Writes a body and ends the message.
     *
     * @param sink receives the body
     * @param body the body
     * @param callback completed when the body was written
     */
    public static void write(Content.Sink sink, CallBody body, Callback callback) {
        ByteBuffer[] segments = body.segments();
        if (segments.length == 1) {
            sink.write(true, segments[0], callback);
        } else {
            new SegmentWriter(sink, segments, callback).iterate();
        }
    }

    private static final class SegmentWriter extends IteratingNestedCallback {
        private final Content.Sink sink;
        private final ByteBuffer[] segments;
        private int next;

        private SegmentWriter(Content.Sink sink, ByteBuffer[] segments, Callback callback) {
            super(callback);
            this.sink = sink;
            this.segments = segments;
        }

        @Override
        protected Action process() {
            if (next == segments.length) {
                return Action.SUCCEEDED;
            }
            ByteBuffer segment = segments[next];
            segments[next] = null;
            next++;
            sink.write(next == segments.length, segment, this);
            return Action.SCHEDULED;
        }
    }
}
