package org.vanillalink.gateway.control

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.slf4j.LoggerFactory
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.logs.GroupControlMetrics
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.serving.control.GroupDecision
import org.vanillalink.testing.InMemoryTableStore
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals

internal class DecisionLogTest {
    private val lines = ListAppender<ILoggingEvent>()
    private val logger = LoggerFactory.getLogger("events") as Logger
    private val eventLogger = EventLogger(DaemonId("a")) { 5 }
    private val controlThread = ControlThread()
    private val domain =
        DomainControl(
            FailureDomainId("ikeja"),
            DaemonId("a"),
            InMemoryTableStore(),
            controlThread,
            eventLogger,
            SystemClock,
            onTermStarted = {},
        )
    private val testSubject =
        DecisionExecutor(
            UnansweredTargets,
            controlThread,
            eventLogger,
            GroupControlMetrics(SimpleMeterRegistry()),
            recentLoopDelay = { 230 },
        ) { _, _, _, _ -> }

    @BeforeTest
    fun start() {
        lines.start()
        logger.addAppender(lines)
    }

    @AfterTest
    fun stop() {
        logger.detachAppender(lines)
        controlThread.close()
    }

    // Guards against a late daemon that can't be told from a silent target (issue 40).
    @Test
    fun `what the controller logs says how late the daemon's own threads were`() {
        testSubject.execute(domain, listOf(GroupDecision.LogEvent("target-silent", mapOf("target" to "h-1"))))

        assertEquals(
            "event=target-silent daemon=a atMs=5 target=h-1 failureDomain=ikeja term=0 loopDelayMs=230",
            lines.list.single().formattedMessage,
        )
    }
}
