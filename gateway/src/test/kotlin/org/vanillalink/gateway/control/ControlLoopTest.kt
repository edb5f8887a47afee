package org.vanillalink.gateway.control

import arrow.core.Either
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.logs.GroupControlMetrics
import org.vanillalink.gateway.logs.LoopDelayMonitor
import org.vanillalink.gateway.logs.ProcessUsage
import org.vanillalink.gateway.ports.GatewayLimits
import org.vanillalink.gateway.ports.GatewaySettings
import org.vanillalink.gateway.ports.Registry
import org.vanillalink.gateway.ports.RegistryFailure
import org.vanillalink.gateway.ports.RegistryPart
import org.vanillalink.gateway.ports.RegistryRecords
import org.vanillalink.gateway.traffic.TrafficView
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.PoisonReport
import org.vanillalink.serving.balancing.ReportedLimit
import org.vanillalink.serving.balancing.ReportedProgress
import org.vanillalink.serving.peers.ControlledDomain
import org.vanillalink.serving.peers.HeartbeatSchedule
import org.vanillalink.serving.peers.PeerMessage
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetInstance
import org.vanillalink.testing.InMemoryTableStore
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** A daemon that has heard once of a peer with control of its failure domain, and doesn't hear it again. */
internal class ControlLoopTest {
    private val domain = FailureDomainId("ikeja")
    private val controlThread = ControlThread()
    private val traffic = FakeTraffic()
    private val logger = EventLogger(DaemonId("a"), SystemClock::steady)
    private val testSubject =
        ControlLoop(
            GatewaySettings(
                daemon = DaemonId("a"),
                failureDomain = domain,
                failureDomains = setOf(domain),
                callerEndpoint = ENDPOINT,
                readinessEndpoint = ENDPOINT,
                peerEndpoint = ENDPOINT,
                metricsEndpoint = ENDPOINT,
                storeEndpoint = ENDPOINT,
                isFirstStart = true,
                limits = GatewayLimits(),
            ),
            controlThread,
            UnansweredRegistry,
            InMemoryTableStore(),
            UnansweredTargets,
            traffic,
            logger,
            SystemClock,
            LoopDelayMonitor("control", SimpleMeterRegistry(), logger) { ProcessUsage() },
            GroupControlMetrics(SimpleMeterRegistry()),
        )

    @AfterTest
    fun stop() = controlThread.close()

    // Guards against control that is taken from a live peer by a daemon that didn't read its messages (issue 40).
    @Test
    fun `a daemon doesn't take control from a peer that it doesn't hear as its own traffic thread is paused`() {
        val pausedAt = SystemClock.steady()
        traffic.ranAt = { pausedAt }
        start()

        TimeUnit.MILLISECONDS.sleep(HeartbeatSchedule.MIN_LIVENESS_TIMEOUT_MILLISECONDS * 2)

        assertFalse(testSubject.hasControl)
    }

    // Guards against a failure domain without a controller.
    @Test
    fun `a daemon takes control from a peer that is silent while its own traffic thread runs`() {
        start()

        repeat(MAX_POLLS) {
            if (!testSubject.hasControl) TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLISECONDS)
        }
        assertTrue(testSubject.hasControl)
    }

    private fun start() {
        controlThread.execute { testSubject.onPeerMessage(messageOfController()) }
        testSubject.start()
    }

    private fun messageOfController() = PeerMessage(
        daemon = DaemonId("b"),
        failureDomain = domain,
        endpoint = ENDPOINT,
        startedAt = 1,
        sequence = 1,
        storeAge = 0,
        isLeaving = false,
        period = HeartbeatSchedule.MIN_PERIOD_MILLISECONDS,
        inFlight = emptyMap(),
        demand = emptyMap(),
        suspects = emptySet(),
        poison = PoisonReport(),
        leaving = emptySet(),
        controlled = listOf(ControlledDomain(domain, term = 1, groups = emptyList(), broken = emptySet())),
    )

    private class FakeTraffic : TrafficSummary {
        @Volatile
        var ranAt: () -> Long = SystemClock::steady
        override val lastRanAt: Long get() = ranAt()
        override val limitsVersion = 0L
        override val progressVersion = 0L

        override fun progress(includesHeard: Boolean): List<ReportedProgress> = emptyList()

        override fun recentDelay() = 0L

        override fun inFlight(): Map<HostId, Int> = emptyMap()

        override fun demand(): Map<String, Double> = emptyMap()

        override fun suspects(): Set<GroupKey> = emptySet()

        override fun leavingTargets(): Set<TargetInstance> = emptySet()

        override fun limits(): List<ReportedLimit> = emptyList()

        override fun hasTraffic() = false

        override fun publish(view: TrafficView) = Unit
    }

    private object UnansweredRegistry : Registry {
        override fun readAll(part: RegistryPart) = CompletableFuture<Either<RegistryFailure, RegistryRecords>>()

        override fun readChanges(
            part: RegistryPart,
            version: Long,
            era: Long?,
            maxWait: Duration,
        ) = CompletableFuture<Either<RegistryFailure, RegistryRecords>>()
    }

    private companion object {
        val ENDPOINT = Endpoint("127.0.0.1", 1)
        const val POLL_INTERVAL_MILLISECONDS = 20L
        const val MAX_POLLS = 1_500
    }
}
