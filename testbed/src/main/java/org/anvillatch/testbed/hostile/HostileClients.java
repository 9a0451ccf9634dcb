package org.anvillatch.testbed.hostile;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A bounded number of connections of one shape to one path, kept open for as long as the node permits and opened again
 * when it closes them. One thread serves them all. Thread safe.
 */
final class HostileClients implements AutoCloseable {
    private static final long PAUSE_MILLIS = 5;
    private static final int RECEIVE_BUFFER_BYTES = 8 * 1024;

    /** Maximum bytes that one connection sends in one turn, so that all of them get their turns. */
    private static final int MAX_TURN_BYTES = 64 * 1024;

    /** Maximum number of connections that are opened in one turn. */
    private static final int MAX_OPENED_PER_TURN = 20;

    private final InetSocketAddress address;
    private final String path;
    private final Shape shape;
    private final SplittableRandom random;
    private final ByteBuffer shared;
    private final Client[] clients;
    private final AtomicLong opened = new AtomicLong();
    private final AtomicLong bytesSent = new AtomicLong();
    private final Thread thread = new Thread(this::run, "hostile");
    private volatile boolean stopped;

    /** One connection. */
    private static final class Client {
        private final SocketChannel channel;
        private final ByteBuffer content;

        private Client(SocketChannel channel, ByteBuffer content) {
            this.channel = channel;
            this.content = content;
        }
    }

    HostileClients(InetSocketAddress address, String path, Shape shape, int connections, long seed) {
        this.address = address;
        this.path = path;
        this.shape = shape;
        this.clients = new Client[connections];
        this.random = new SplittableRandom(seed);
        this.shared = shape.content(path, random);
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    long opened() {
        return opened.get();
    }

    long bytesSent() {
        return bytesSent.get();
    }

    private void run() {
        ByteBuffer input = ByteBuffer.allocateDirect(RECEIVE_BUFFER_BYTES);
        while (!stopped) {
            int openedNow = 0;
            for (int index = 0; index < clients.length && !stopped; index++) {
                if (clients[index] == null) {
                    if (openedNow++ < MAX_OPENED_PER_TURN) {
                        clients[index] = open();
                    }
                } else if (!serve(clients[index], input)) {
                    close(clients[index]);
                    clients[index] = null;
                }
            }
            pause();
        }
        List<Client> open = new ArrayList<>();
        for (Client client : clients) {
            if (client != null) {
                open.add(client);
            }
        }
        open.forEach(HostileClients::close);
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private Client open() {
        try {
            SocketChannel channel = SocketChannel.open();
            channel.socket().setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            channel.socket().connect(address, 500);
            channel.configureBlocking(false);
            opened.incrementAndGet();
            // Each connection stops at another place before the end.
            ByteBuffer content = shared.duplicate();
            content.limit(content.limit() - random.nextInt(Math.min(8, content.remaining())));
            return new Client(
                    channel, shape == Shape.NO_READ || shape == Shape.PIPELINE ? shared.duplicate() : content);
        } catch (IOException refused) {
            return null;
        }
    }

    /** Sends and reads what is possible; returns false if the node has closed the connection. */
    private boolean serve(Client client, ByteBuffer input) {
        try {
            if (client.content.hasRemaining()) {
                int limit = client.content.limit();
                int bytes = Math.min(client.content.remaining(), Math.min(shape.pieceBytes(), MAX_TURN_BYTES));
                client.content.limit(client.content.position() + bytes);
                bytesSent.addAndGet(client.channel.write(client.content));
                client.content.limit(limit);
            }
            if (!shape.isReading()) {
                return true;
            }
            int read = client.channel.read(input.clear());
            while (read > 0) {
                read = client.channel.read(input.clear());
            }
            return read == 0;
        } catch (IOException reset) {
            return false;
        }
    }

    private static void close(Client client) {
        try {
            client.channel.close();
        } catch (IOException ignored) {
            // The connection is closed in any case.
        }
    }

    @Override
    public void close() throws InterruptedException {
        stopped = true;
        thread.join();
    }
}
