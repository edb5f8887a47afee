package org.vanillalink.gateway.peers

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
import kotlin.test.assertTrue

internal class PeerTrafficMonitorTest {
    private val loggedEvents = ListAppender<ILoggingEvent>()
    private val logger = LoggerFactory.getLogger("events") as Logger
    private val testSubject =
        PeerTrafficMonitor(linkBytesPerSecond = 10_000, SimpleMeterRegistry(), EventLogger(DaemonId("a")) { 0 })

    @BeforeTest
    fun listen() {
        loggedEvents.start()
        logger.addAppender(loggedEvents)
    }

    @AfterTest
    fun stop() {
        logger.detachAppender(loggedEvents)
    }

    @Test
    fun `a second in which peer messages use more than a tenth of the link is logged`() {
        testSubject.recordReceived(600, now = 5_000)
        testSubject.recordReceived(500, now = 5_500)
        testSubject.recordSent(10, now = 6_000)

        val line = loggedEvents.list.single().formattedMessage
        assertTrue("event=peer-traffic-high" in line, line)
        assertTrue("receivedBytes=1100" in line, line)
        assertTrue("largestMessage=600" in line, line)
    }

    @Test
    fun `a second below the threshold is not logged`() {
        testSubject.recordReceived(900, now = 5_000)
        testSubject.recordSent(900, now = 5_500)
        testSubject.recordSent(10, now = 6_000)

        assertEquals(emptyList(), loggedEvents.list)
    }
}
