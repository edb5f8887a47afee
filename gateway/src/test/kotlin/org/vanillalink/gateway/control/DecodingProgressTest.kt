package org.vanillalink.gateway.control

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.slf4j.LoggerFactory
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.model.DaemonId
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

internal class DecodingProgressTest {
    private var time = 0L
    private val clock =
        object : GatewayClock {
            override fun steady() = time

            override fun wall() = time
        }
    private val lines = ListAppender<ILoggingEvent>()
    private val logger = LoggerFactory.getLogger("events") as Logger
    private val progress = DecodingProgress(clock)
    private val testSubject =
        DecodingMonitor(progress, EventLogger(DaemonId("a"), clock::steady), SimpleMeterRegistry())

    @BeforeTest
    fun start() {
        lines.start()
        logger.addAppender(lines)
    }

    @AfterTest
    fun stop() {
        logger.detachAppender(lines)
    }

    // Guards against a record that takes long to decode and can't be told from a store that doesn't answer (review/7).
    @Test
    fun `a record that takes long is logged once, while it is being decoded`() {
        progress.track("i-1", 48_137) {
            testSubject.check()
            time += 300
            repeat(2) { testSubject.check() }
        }

        assertEquals(
            "event=registry-decoding-slow daemon=a atMs=300 key=i-1 bytes=48137 forMs=300",
            lines.list.single().formattedMessage,
        )
    }

    @Test
    fun `the record within an answer is the current step, and then the answer again`() {
        progress.track("answer", 0) {
            time += 40
            progress.track("i-1", 100) { assertEquals("i-1", progress.current?.name) }
            time += 2

            assertEquals("answer", progress.current?.name)
            assertEquals(42, progress.ageMilliseconds)
        }

        assertNull(progress.current)
    }

    @Test
    fun `nothing is current after a record that could not be decoded`() {
        runCatching { progress.track("i-1", 100) { error("unreadable") } }

        assertNull(progress.current)
    }
}
