package org.vanillalink.gateway.control

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.logs.GroupControlMetrics
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.serving.control.GroupDecision
import org.vanillalink.testing.InMemoryTableStore
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** What is counted of the decisions that a controller makes. */
internal class DecisionExecutorTest {
    private val meterRegistry = SimpleMeterRegistry()
    private val controlThread = ControlThread()
    private val eventLogger = EventLogger(DaemonId("a"), SystemClock::steady)
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
            GroupControlMetrics(meterRegistry),
            recentLoopDelay = { 0 },
        ) { _, _, _, _ -> error("not used") }

    @AfterTest
    fun stop() = controlThread.close()

    // Guards against streams that an order of ours cuts, and that look like those that their targets broke off.
    @Test
    fun `groups that are taken apart are counted by reason and whether their work may end first`() {
        log("group-dissolving", "reason" to "member-silent", "gentle" to false)
        log("group-dissolving", "reason" to "member-silent", "gentle" to false)
        log("group-dissolving", "reason" to "member-leaving", "gentle" to true)

        val expected =
            mapOf(
                listOf("gentle=false", "reason=member-silent") to 2.0,
                listOf("gentle=true", "reason=member-leaving") to 1.0,
            )
        assertEquals(expected, counts("vanillalink.groups.dissolving"))
    }

    // Guards against a metric with as many time series as there are texts of reasons.
    @Test
    fun `a reason that is not known is counted as other`() {
        log("group-dissolving", "reason" to "lost-apapa-m0", "gentle" to false)
        log("group-dissolving", "reason" to "lost-lekki-m1", "gentle" to false)
        log("group-dissolving")

        val expected = mapOf(listOf("gentle=false", "reason=other") to 3.0)
        assertEquals(expected, counts("vanillalink.groups.dissolving"))
    }

    @Test
    fun `models without a group are counted until they are served again`() {
        log("model-unserved", "model" to "large", "elsewhere" to false)
        log("model-unserved", "model" to "small", "elsewhere" to true)
        log("model-served-again", "model" to "large", "afterMs" to 20_000L)

        val expected = mapOf(listOf("elsewhere=false") to 1.0, listOf("elsewhere=true") to 1.0)
        assertEquals(expected, counts("vanillalink.models.unserved"))
        assertEquals(mapOf(emptyList<String>() to 1.0), counts("vanillalink.models.served.again"))
    }

    @Test
    fun `targets that fall silent and answer again are counted`() {
        log("target-silent", "target" to "m0", "ended" to false)
        log("target-silent", "target" to "m1", "ended" to true)
        log("target-answers-again", "target" to "m0", "afterMs" to 1_100L)

        val expected = mapOf(listOf("ended=false") to 1.0, listOf("ended=true") to 1.0)
        assertEquals(expected, counts("vanillalink.targets.silent"))
        assertEquals(mapOf(emptyList<String>() to 1.0), counts("vanillalink.targets.answered.again"))
    }

    @Test
    fun `other events are not counted`() {
        log("group-opened", "tookMs" to 5)

        assertEquals(emptyList(), meterRegistry.meters)
    }

    private fun log(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = testSubject.execute(domain, listOf(GroupDecision.LogEvent(event, fields.toMap())))

    /** The counts of [name] by their tags, in alphabetical order. */
    private fun counts(name: String): Map<List<String>, Double> = meterRegistry
        .find(name)
        .counters()
        .associate { counter -> counter.id.tags.map { "${it.key}=${it.value}" } to counter.count() }
}
