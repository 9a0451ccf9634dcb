package org.anvillatch.node.listener;

import java.lang.management.ManagementFactory;

import com.sun.management.UnixOperatingSystemMXBean;

/** Limits of the operating system on open files. Stateless and thread safe. */
final class FileDescriptors {
    private FileDescriptors() {}

    /** Returns the maximum number of open files of this process. */
    static long limit() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                ? system.getMaxFileDescriptorCount()
                : Long.MAX_VALUE;
    }
}
