/*
 * Hands lines to the thread that writes them, and counts those that find its queue full: a reader of the output that
 * stops must not hold the daemon back.
 */
package org.vanillalink.daemon.logs

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.LongAdder

/** Named in logback.xml; never blocks. */
class CountingAsyncAppender : AsyncAppender() {
    override fun append(event: ILoggingEvent) {
        if (remainingCapacity == 0) dropped.increment() else super.append(event)
    }

    companion object {
        private val dropped = LongAdder()

        /** Lines dropped since the process began. */
        fun droppedLines(): Long = dropped.sum()

        /** Writes the lines that wait, for as long as `maxFlushTime` in logback.xml allows. Call last. */
        fun writeOut() {
            (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
        }
    }
}
