package org.anvillatch.testbed.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/**
 * TCP proxy that forwards connections from one local port to one target and injects network faults. Faults apply to
 * open and to new connections. Thread safe.
 */
public final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** What the proxy does with the bytes of affected connections. */
    public enum Fault {
        /** Forwards everything. */
        NONE,
        /** Accepts connections but forwards nothing, in either direction. */
        BLACKHOLE,
        /** Forwards requests and drops answers. */
        DROP_ANSWERS,
        /** Holds everything back until the fault changes. */
        STALL,
        /** Forwards the first half of the next buffer of an answer, then closes the connection. */
        TRUNCATE_ANSWERS,
        /** Delays every buffer by a fixed time. */
        DELAY
    }

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicLong affectedBuffers = new AtomicLong();
    private volatile Fault fault = Fault.NONE;
    private volatile long delayMicros;
    private volatile Predicate<String> affectedSources = source -> true;

    /**
     * Starts a proxy.
     *
     * @param port port on the loopback address to listen on, 0 for any free port
     * @param target address to forward connections to
     * @throws IOException if it cannot listen
     */
    public FaultProxy(int port, InetSocketAddress target) throws IOException {
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        this.target = target;
        startThread(this::acceptConnections);
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "proxy");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Returns the port that the proxy listens on.
     *
     * @return the local port
     */
    public int port() {
        return server.getLocalPort();
    }

    /**
     * Sets the fault for all connections.
     *
     * @param newFault the fault from now on
     * @param newDelayMicros delay of each buffer, for {@link Fault#DELAY}
     */
    public void setFault(Fault newFault, long newDelayMicros) {
        setFault(newFault, newDelayMicros, source -> true);
    }

    /**
     * Sets the fault for the connections of some sources; all others are forwarded unchanged.
     *
     * @param newFault the fault from now on
     * @param newDelayMicros delay of each buffer, for {@link Fault#DELAY}
     * @param newAffectedSources selects the affected connections by the IP address of the client
     */
    public void setFault(Fault newFault, long newDelayMicros, Predicate<String> newAffectedSources) {
        synchronized (this) {
            delayMicros = newDelayMicros;
            affectedSources = newAffectedSources;
            fault = newFault;
            notifyAll();
        }
    }

    /**
     * Returns how many buffers were dropped, held back, delayed, truncated or otherwise subject to a fault.
     *
     * @return count since the start
     */
    public long affectedBuffers() {
        return affectedBuffers.get();
    }

    private void acceptConnections() {
        while (!server.isClosed()) {
            try {
                Socket client = server.accept();
                sockets.add(client);
                startThread(() -> relayConnection(client));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void relayConnection(Socket client) {
        Socket upstream = new Socket();
        try {
            upstream.connect(target, CONNECT_TIMEOUT_MILLIS);
            upstream.setTcpNoDelay(true);
            client.setTcpNoDelay(true);
            sockets.add(upstream);
            String source = client.getInetAddress().getHostAddress();
            startThread(() -> relayBytes(client, upstream, source, false));
            relayBytes(upstream, client, source, true);
        } catch (IOException unreachable) {
            close(client);
            close(upstream);
        }
    }

    private void relayBytes(Socket from, Socket to, String source, boolean answers) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            int length = input.read(buffer);
            while (length >= 0 && forwardBuffer(buffer, length, output, source, answers)) {
                length = input.read(buffer);
            }
        } catch (IOException broken) {
            // One side closed its connection; both are closed below.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        close(from);
        close(to);
    }

    private boolean forwardBuffer(byte[] buffer, int length, OutputStream output, String source, boolean answers)
            throws IOException, InterruptedException {
        awaitStallEnd(source);
        Fault currentFault = affectedSources.test(source) ? fault : Fault.NONE;
        if (currentFault != Fault.NONE) {
            affectedBuffers.incrementAndGet();
        }
        switch (currentFault) {
            case BLACKHOLE -> {
                return true;
            }
            case DROP_ANSWERS -> {
                if (!answers) {
                    output.write(buffer, 0, length);
                }
                return true;
            }
            case TRUNCATE_ANSWERS -> {
                output.write(buffer, 0, answers ? length / 2 : length);
                output.flush();
                return !answers;
            }
            case DELAY -> TimeUnit.MICROSECONDS.sleep(delayMicros);
            default -> {}
        }
        output.write(buffer, 0, length);
        output.flush();
        return true;
    }

    private void awaitStallEnd(String source) throws InterruptedException {
        synchronized (this) {
            if (fault == Fault.STALL && affectedSources.test(source)) {
                affectedBuffers.incrementAndGet();
            }
            while (fault == Fault.STALL && affectedSources.test(source)) {
                wait();
            }
        }
    }

    private void close(Socket socket) {
        sockets.remove(socket);
        try {
            socket.close();
        } catch (IOException alreadyClosed) {
            // The socket is already closed.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        setFault(Fault.NONE, 0);
        sockets.forEach(this::close);
    }
}
