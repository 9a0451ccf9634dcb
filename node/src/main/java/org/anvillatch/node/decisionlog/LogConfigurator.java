package org.anvillatch.node.decisionlog;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.Logger;

/**
 * Sends all lines to standard output; loading the same settings from a file takes a quarter of a process's start. Lines
 * other than decisions pass through a bounded queue that never blocks; {@link DecisionLog} has its own.
 *
 * <p>A program that brings a settings file of Logback keeps it. Environment variables set the least level: {@code ANVILLATCH_LEVEL} of all lines, {@code ANVILLATCH_DECISION_LEVEL} of
 * decisions, {@code ANVILLATCH_LIBRARY_LEVEL} of the HTTP library. Called once, by Logback.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LogConfigurator extends ContextAwareBase implements Configurator {
    /** Lines that may wait for standard output; more are dropped. */
    private static final int QUEUE_LENGTH = 4_096;

    private static final String FILE_PROPERTY = "logback.configurationFile";
    private static final String FILE = "/logback.xml";
    private static final String LINE = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{0} %msg%n";
    private static final String DECISION_LINE = "%msg%n";

    @Override
    public ExecutionStatus configure(LoggerContext loggers) {
        if (System.getProperty(FILE_PROPERTY) != null || getClass().getResource(FILE) != null) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(loggers);
        queue.setQueueSize(QUEUE_LENGTH);
        queue.setNeverBlock(true);
        queue.addAppender(standardOutput(loggers, LINE));
        queue.start();
        ch.qos.logback.classic.Logger root = loggers.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(level("ANVILLATCH_LEVEL", Level.INFO));
        root.addAppender(queue);
        ch.qos.logback.classic.Logger decisions = loggers.getLogger(DecisionLog.LOGGER_NAME);
        decisions.setLevel(level("ANVILLATCH_DECISION_LEVEL", Level.INFO));
        decisions.setAdditive(false);
        decisions.addAppender(standardOutput(loggers, DECISION_LINE));
        loggers.getLogger("org.eclipse.jetty").setLevel(level("ANVILLATCH_LIBRARY_LEVEL", Level.WARN));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static Level level(String variable, Level absent) {
        return Level.toLevel(System.getenv(variable), absent);
    }

    private static ConsoleAppender<ILoggingEvent> standardOutput(LoggerContext loggers, String pattern) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(loggers);
        encoder.setPattern(pattern);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(loggers);
        appender.setEncoder(encoder);
        appender.start();
        return appender;
    }
}
