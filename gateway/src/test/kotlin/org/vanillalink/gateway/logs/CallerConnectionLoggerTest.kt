package org.vanillalink.gateway.logs

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.slf4j.LoggerFactory
import org.vanillalink.model.DaemonId
import org.vanillalink.model.KeyValueLine
import org.vanillalink.transport.CallerConnectionEnd
import org.vanillalink.transport.CallerConnectionEndReason
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The lines and the counter that tell on-call why callers' connections ended. */
internal class CallerConnectionLoggerTest {
    private val meterRegistry = SimpleMeterRegistry()
    private val lines = ListAppender<ILoggingEvent>()
    private val logger = LoggerFactory.getLogger("connections") as Logger
    private val testSubject = CallerConnectionLogger(DaemonId("ikeja-1"), meterRegistry) { 5 }

    @BeforeTest
    fun start() {
        lines.start()
        logger.addAppender(lines)
    }

    @AfterTest
    fun stop() {
        logger.detachAppender(lines)
    }

    @Test
    fun `an end that leaves requests without answers is logged with its reason`() {
        testSubject.onEnded(CallerConnectionEnd(CallerConnectionEndReason.CALLER_CLOSED, true, 2, false))

        assertEquals(
            "event=caller-connection-closed daemon=ikeja-1 atMs=5 reason=caller-closed inProgress=1 queued=2 " +
                "partial=false discarded=0",
            lines.list.single().formattedMessage,
        )
    }

    @Test
    fun `an end names the request whose response is incomplete`() {
        testSubject.onEnded(
            CallerConnectionEnd(
                CallerConnectionEndReason.RESPONSE_ABORTED,
                isResponseIncomplete = true,
                incompleteRequestId = "c15-33",
            ),
        )

        assertEquals("c15-33", KeyValueLine.parse(lines.list.single().formattedMessage)["request"])
    }

    // Guards against a flood of lines when many callers leave at once.
    @Test
    fun `clean ends are counted only and the number of lines is bounded`() {
        repeat(MANY) { testSubject.onEnded(CallerConnectionEnd(CallerConnectionEndReason.RESPONSE_ENDED)) }
        assertTrue(lines.list.isEmpty())
        val left = CallerConnectionEnd(CallerConnectionEndReason.IDLE, isRequestIncomplete = true)
        repeat(MANY) { testSubject.onEnded(left) }

        assertTrue(lines.list.size < MANY)
        assertEquals(MANY.toDouble(), count("response-ended", "true"))
        assertEquals(MANY.toDouble(), count("idle", "false"))
    }

    private fun count(
        reason: String,
        clean: String,
    ) = meterRegistry.counter("vanillalink.caller.connections.ended", "reason", reason, "clean", clean).count()

    private companion object {
        const val MANY = 1_000
    }
}
