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
 * TCP proxy that injects faults between one listening address and one target. Thread safe.
 */
public final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** What the proxy does with bytes. */
    public enum Fault {
        /** Passes everything on. */
        NONE,
        /** Takes connections and passes nothing on, in either direction. */
        BLACKHOLE,
        /** Passes requests on and drops answers. */
        DROP_ANSWERS,
        /** Holds everything until the fault changes. */
        STALL,
        /** Passes part of the next answer on, then closes the connection. */
        TRUNCATE_ANSWERS,
        /** Delays every buffer. */
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
     * @param port port to listen on at the loopback address, 0 for a free one
     * @param target address to pass connections on to
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
     * Returns the port that it listens on.
     *
     * @return port
     */
    public int port() {
        return server.getLocalPort();
    }

    /**
     * Sets the fault.
     *
     * @param newFault what to do with bytes from now on
     * @param newDelayMicros delay of each buffer, for {@link Fault#DELAY}
     */
    public void setFault(Fault newFault, long newDelayMicros) {
        setFault(newFault, newDelayMicros, source -> true);
    }

    /**
     * Sets the fault for connections of some sources.
     *
     * @param newFault what to do with bytes from now on
     * @param newDelayMicros delay of each buffer, for {@link Fault#DELAY}
     * @param newSources IP numbers whose connections are concerned
     */
    public void setFault(Fault newFault, long newDelayMicros, Predicate<String> newSources) {
        synchronized (this) {
            delayMicros = newDelayMicros;
            affectedSources = newSources;
            fault = newFault;
            notifyAll();
        }
    }

    /**
     * Returns how many buffers were changed, held or dropped.
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
            // Either side has gone; both are closed below.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        close(from);
        close(to);
    }

    private boolean forwardBuffer(byte[] buffer, int length, OutputStream output, String source, boolean answers)
            throws IOException, InterruptedException {
        awaitStallEnd(source);
        Fault now = affectedSources.test(source) ? fault : Fault.NONE;
        if (now != Fault.NONE) {
            affectedBuffers.incrementAndGet();
        }
        switch (now) {
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
            // Nothing is left to release.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        setFault(Fault.NONE, 0);
        sockets.forEach(this::close);
    }
}
