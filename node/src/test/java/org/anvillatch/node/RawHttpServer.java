package org.anvillatch.node;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** A server whose responses a test writes as raw bytes. Used by one thread at a time. */
public final class RawHttpServer implements AutoCloseable {
    private static final int SOCKET_TIMEOUT_MILLIS = 20_000;

    /** Bytes that are written at once when a text is repeated. */
    private static final int WRITE_BYTES = 16 * 1024;

    private final ServerSocket server;

    /**
     * Opens the server on a free port.
     *
     * @throws IOException if there is none
     */
    public RawHttpServer() throws IOException {
        server = new ServerSocket(0);
        server.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    }

    /** The server's side of one connection. */
    public static final class Connection implements AutoCloseable {
        private final Socket socket;
        private final BufferedReader reader;
        private final OutputStream output;

        private Connection(Socket socket) throws IOException {
            this.socket = socket;
            reader = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            output = socket.getOutputStream();
        }

        /**
         * Reads the head of a request.
         *
         * @return its lines
         * @throws IOException if the connection ends
         */
        public String readHead() throws IOException {
            StringBuilder head = new StringBuilder();
            for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
                head.append(line).append('\n');
            }
            return head.toString();
        }

        /**
         * Writes a text in ISO 8859-1.
         *
         * @param text the text
         * @throws IOException if the client has closed the connection
         */
        public void write(String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /**
         * Writes a text again and again.
         *
         * @param text the text
         * @param maxBytes number of bytes after which the repetition ends
         * @return whether the client has closed the connection before
         */
        public boolean writeUntilClosed(String text, long maxBytes) {
            byte[] bytes = text.repeat(Math.max(1, WRITE_BYTES / text.length())).getBytes(StandardCharsets.ISO_8859_1);
            try {
                for (long written = 0; written < maxBytes; written += bytes.length) {
                    output.write(bytes);
                }
                return false;
            } catch (IOException closed) {
                return true;
            }
        }

        /**
         * Ends the output; the client can still write.
         *
         * @throws IOException if the client has closed the connection
         */
        public void endOutput() throws IOException {
            socket.shutdownOutput();
        }

        /**
         * Waits for input or for the end of the connection.
         *
         * @return whether the client has closed the connection
         * @throws IOException if neither happens in time
         */
        public boolean isClosedByClient() throws IOException {
            try {
                return reader.read() < 0;
            } catch (SocketException reset) {
                return true;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /**
     * Returns the address of the server.
     *
     * @return IP address and port, separated by a colon
     */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /**
     * Waits for a connection.
     *
     * @return the connection
     * @throws IOException if none is opened in time
     */
    public Connection accept() throws IOException {
        Socket socket = server.accept();
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        return new Connection(socket);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
