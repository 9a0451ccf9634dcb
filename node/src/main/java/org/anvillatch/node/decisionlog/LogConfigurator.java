package org.anvillatch.node.decisionlog;

import java.nio.charset.StandardCharsets;
import java.time.Instant;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.Layout;
import ch.qos.logback.core.LayoutBase;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.Logger;

/**
 * Configures Logback to write all lines to standard output. The configuration is code because loading the same settings
 * from a file takes a quarter of a process's start-up time. Lines other than decisions pass through a bounded queue
 * that never blocks; {@link DecisionLog} has a queue of its own.
 *
 * <p>A Logback settings file takes precedence over this class. Environment variables set the minimum level of lines:
 * {@code ANVILLATCH_LEVEL} for all lines, {@code ANVILLATCH_DECISION_LEVEL} for decisions and
 * {@code ANVILLATCH_LIBRARY_LEVEL} for the HTTP library. Logback calls this class once.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LogConfigurator extends ContextAwareBase implements Configurator {
    /** Maximum number of lines that wait for standard output; further lines are dropped. */
    private static final int MAX_QUEUED_LINES = 4_096;

    private static final String SETTINGS_FILE_PROPERTY = "logback.configurationFile";
    private static final String SETTINGS_FILE = "/logback.xml";

    @Override
    public ExecutionStatus configure(LoggerContext loggers) {
        if (System.getProperty(SETTINGS_FILE_PROPERTY) != null || getClass().getResource(SETTINGS_FILE) != null) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(loggers);
        queue.setQueueSize(MAX_QUEUED_LINES);
        queue.setNeverBlock(true);
        queue.addAppender(createAppender(loggers, new LineLayout()));
        queue.start();
        ch.qos.logback.classic.Logger root = loggers.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(levelFromEnvironment("ANVILLATCH_LEVEL", Level.INFO));
        root.addAppender(queue);
        ch.qos.logback.classic.Logger decisions = loggers.getLogger(DecisionLog.LOGGER_NAME);
        decisions.setLevel(levelFromEnvironment("ANVILLATCH_DECISION_LEVEL", Level.INFO));
        decisions.setAdditive(false);
        decisions.addAppender(createAppender(loggers, new MessageLayout()));
        loggers.getLogger("org.eclipse.jetty").setLevel(levelFromEnvironment("ANVILLATCH_LIBRARY_LEVEL", Level.WARN));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static Level levelFromEnvironment(String variable, Level defaultLevel) {
        return Level.toLevel(System.getenv(variable), defaultLevel);
    }

    private static ConsoleAppender<ILoggingEvent> createAppender(LoggerContext loggers, Layout<ILoggingEvent> layout) {
        layout.setContext(loggers);
        layout.start();
        LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
        encoder.setContext(loggers);
        encoder.setCharset(StandardCharsets.UTF_8);
        encoder.setLayout(layout);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(loggers);
        appender.setEncoder(encoder);
        appender.start();
        return appender;
    }

    /** Writes the message only. Thread safe. */
    private static final class MessageLayout extends LayoutBase<ILoggingEvent> {
        @Override
        public String doLayout(ILoggingEvent event) {
            return event.getFormattedMessage() + System.lineSeparator();
        }
    }

    /**
     * Writes time, level, class, message and stack trace. It replaces Logback's pattern layout, which takes an eighth
     * of a process's start-up time. Thread safe.
     */
    private static final class LineLayout extends LayoutBase<ILoggingEvent> {
        private static final int LEVEL_WIDTH = 5;

        @Override
        public String doLayout(ILoggingEvent event) {
            String level = event.getLevel().toString();
            String logger = event.getLoggerName();
            StringBuilder line = new StringBuilder()
                    .append(Instant.ofEpochMilli(event.getTimeStamp()))
                    .append(' ')
                    .append(level)
                    .append(" ".repeat(Math.max(0, LEVEL_WIDTH - level.length())))
                    .append(' ')
                    .append(logger, logger.lastIndexOf('.') + 1, logger.length())
                    .append(' ')
                    .append(event.getFormattedMessage())
                    .append(System.lineSeparator());
            if (event.getThrowableProxy() != null) {
                line.append(ThrowableProxyUtil.asString(event.getThrowableProxy()));
            }
            return line.toString();
        }
    }
}
