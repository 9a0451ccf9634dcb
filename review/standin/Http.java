import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages. Stateless. */
final class Http {
    private Http() {}

    /** The start line and the header fields of a message, with lower-case names. */
    record Head(String startLine, Map<String, String> fields) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String field(String name) {
            return fields.get(name.toLowerCase(java.util.Locale.ROOT));
        }

        long length() {
            String value = field("content-length");
            return value == null ? 0 : Long.parseLong(value);
        }
    }

    /** Reads a head; returns null if the connection has ended before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        String line = readLine(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(java.util.Locale.ROOT), line.substring(colon + 1).strip());
            line = readLine(in);
        }
        if (line == null) {
            throw new EOFException("connection ended in a head");
        }
        return new Head(startLine, fields);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("connection ended in a line");
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads and counts a body; fails if it ends early. */
    static long skipBody(InputStream in, long length) throws IOException {
        byte[] buffer = new byte[64 * 1024];
        long remaining = length;
        while (remaining > 0) {
            int read = in.read(buffer, 0, (int) Math.min(buffer.length, remaining));
            if (read < 0) {
                throw new EOFException("body ended after " + (length - remaining) + " of " + length + " bytes");
            }
            remaining -= read;
        }
        return length;
    }
}
