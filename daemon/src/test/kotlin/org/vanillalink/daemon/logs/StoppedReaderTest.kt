package org.vanillalink.daemon.logs

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.joran.JoranConfigurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import ch.qos.logback.core.ConsoleAppender
import org.slf4j.Logger
import java.io.OutputStream
import java.time.Duration
import java.util.concurrent.CountDownLatch
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** The daemon's own log settings, with standard output that nobody reads. */
internal class StoppedReaderTest {
    private val readerIsBack = CountDownLatch(1)
    private val written = StringBuffer()
    private val context = LoggerContext().apply { mdcAdapter = LogbackMDCAdapter() }

    @AfterTest
    fun restore() {
        readerIsBack.countDown()
        context.stop()
    }

    @Test
    fun `lines are dropped and counted while nobody reads, and no caller waits`() {
        configure()
        val before = CountingAsyncAppender.droppedLines()
        val logger = context.getLogger("events")
        // Were a caller held back, this would never end: nobody reads before all lines are logged.
        repeat(LINES) { logger.info("event=line number=$it") }
        val dropped = CountingAsyncAppender.droppedLines() - before
        assertTrue(dropped > 0)
        readerIsBack.countDown()
        val end = System.nanoTime() + PATIENCE.toNanos()
        while (linesWritten() + dropped < LINES && System.nanoTime() < end) Thread.sleep(PAUSE_MILLISECONDS)
        assertEquals(LINES.toLong(), linesWritten() + dropped)
    }

    private fun linesWritten(): Int = written.lines().count { it.contains("event=line") && it.contains("number=") }

    private fun configure() {
        val settings = assertNotNull(javaClass.getResource("/logback.xml"))
        JoranConfigurator().apply { context = this@StoppedReaderTest.context }.doConfigure(settings)
        val queued = context.getLogger(Logger.ROOT_LOGGER_NAME).getAppender("queued") as AsyncAppender
        (queued.getAppender("out") as ConsoleAppender<ILoggingEvent>).outputStream = StoppedStream()
    }

    private inner class StoppedStream : OutputStream() {
        override fun write(byte: Int) {
            readerIsBack.await()
            written.append(byte.toChar())
        }

        override fun write(
            bytes: ByteArray,
            offset: Int,
            length: Int,
        ) {
            readerIsBack.await()
            written.append(String(bytes, offset, length))
        }
    }

    private companion object {
        /** Several times what the queue holds. */
        const val LINES = 10_000
        const val PAUSE_MILLISECONDS = 50L

        /** Far longer than it takes; a line that is lost shows by its absence after it. */
        val PATIENCE: Duration = Duration.ofSeconds(20)
    }
}
