package org.vanillalink.daemon.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanillalink.control.AttemptTarget
import org.vanillalink.control.DaemonControl
import org.vanillalink.control.DaemonEvent
import org.vanillalink.daemon.timeline.EventLog
import org.vanillalink.daemon.traffic.ActiveCall
import org.vanillalink.daemon.traffic.ActiveCalls
import org.vanillalink.daemon.traffic.ForwardTarget
import org.vanillalink.daemon.traffic.RunningAttempt
import org.vanillalink.membership.DaemonEndpoints
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RequestId
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.TargetReport
import org.vanillalink.targets.OrderMessage
import org.vanillalink.targets.OrderResponse
import org.vanillalink.targets.TargetClient
import org.vanillalink.targets.TargetFailure
import org.vanillalink.transport.ConnectionPolicy
import org.vanillalink.transport.NettyEventLoops
import org.vanillalink.transport.NettyHttpClient
import java.time.Clock
import java.time.Instant
import java.time.ZoneOffset
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class StreamWatchTest {
    private val host = HostId("h1")
    private val endpoint = Endpoint("127.0.0.1", 1)
    private val clock = MovableClock()
    private val thread = ControlThread()
    private val loops = NettyEventLoops(1)
    private val targets = ProbedTarget()
    private val log = EventLog(DaemonId("d"), clock)
    private val loop = ControlLoop(thread, DaemonControl(identity(), emptyList(), clock.instant()), clock)
    private val silent = WatchedCall("silent")
    private val moving = WatchedCall("moving")
    private val calls = ActiveCalls().apply { listOf(silent, moving).forEach(::add) }
    private val testSubject = StreamWatch(loop, calls, targets, NettyHttpClient(loops), log) { endpoint }

    init {
        loop.add(testSubject)
    }

    @AfterTest
    fun close() {
        thread.close()
        loops.close()
    }

    @Test
    fun `a silent stream ends alone where the target answers on a fresh connection`() {
        targets.answer = report().right()

        passTime()

        assertEquals(listOf(AttemptId("silent.1")), silent.ended)
        assertEquals(emptyList(), moving.ended)
        assertEquals(emptyList(), eventNames().filter { it == "target-suspected" })
    }

    @Test
    fun `a target that answers no probe is suspected and all its streams end`() {
        targets.answer = TargetFailure.Unreachable("refused").left()

        passTime()

        assertTrue("target-suspected" in eventNames())
        assertEquals(listOf(AttemptId("silent.1")), silent.ended)
        assertEquals(listOf(AttemptId("moving.1")), moving.ended)
    }

    @Test
    fun `a stream that its caller reads slowly isn't silent`() {
        targets.answer = report().right()
        silent.watched.setReading(false)

        passTime()

        assertEquals(0, targets.probes)
        assertEquals(emptyList(), silent.ended)
    }

    private fun passTime() = repeat(TICKS) {
        clock.now = clock.now.plusMillis(TICK_MILLISECONDS)
        moving.watched.pieceReceived()
        val done = CompletableFuture<Unit>()
        thread.execute {
            testSubject.look()
            loop.handle(DaemonEvent.Tick)
        }
        thread.execute { done.complete(Unit) }
        done.get(BOUND_SECONDS, TimeUnit.SECONDS)
    }

    private fun eventNames() = log.after(0).map { it.name }

    private fun report() = TargetReport(host, BootId("b"), 1, TargetPhase.READY)

    private fun identity() = DaemonIdentity(
        DaemonId("d"),
        BootId("d-boot"),
        FailureDomainId("ikeja"),
        DaemonEndpoints(endpoint, endpoint, endpoint),
    )

    private class MovableClock : Clock() {
        @Volatile
        var now: Instant = Instant.EPOCH

        override fun instant(): Instant = now

        override fun getZone() = ZoneOffset.UTC

        override fun withZone(zone: java.time.ZoneId) = this
    }

    private class ProbedTarget : TargetClient {
        var answer: Either<TargetFailure, TargetReport> = TargetFailure.Unreachable("").left()
        var probes = 0

        override fun fetchReport(
            target: Endpoint,
            connection: ConnectionPolicy,
        ): CompletableFuture<Either<TargetFailure, TargetReport>> {
            if (connection == ConnectionPolicy.NEW) probes += 1
            return CompletableFuture.completedFuture(answer)
        }

        override fun sendOrder(
            target: Endpoint,
            order: OrderMessage,
        ): CompletableFuture<Either<TargetFailure, OrderResponse>> = CompletableFuture()

        override fun cancelAttempt(
            target: Endpoint,
            attempt: AttemptId,
        ): CompletableFuture<Either<TargetFailure, Unit>> = CompletableFuture()
    }

    private inner class WatchedCall(
        name: String,
    ) : ActiveCall {
        val ended = mutableListOf<AttemptId>()
        override val request = RequestId(name)
        override val watched =
            RunningAttempt(1, AttemptId("$name.1"), AttemptTarget(host, endpoint, BootId("b")), clock.instant())

        override fun endAttempt(attempt: AttemptId) {
            if (attempt == watched.id) ended.add(attempt)
        }

        override fun start(
            attempt: Int,
            target: AttemptTarget,
        ) = Unit

        override fun forward(
            attempt: Int,
            target: ForwardTarget,
        ) = Unit

        override fun endAttemptAt(host: HostId) = Unit

        override fun complete() = Unit

        override fun refuse(refusal: Refusal) = Unit

        override fun stopAttempt(): AttemptTarget? = null
    }

    private companion object {
        const val TICK_MILLISECONDS = 100L
        const val BOUND_SECONDS = 30L

        /** Ten seconds: enough for silence before the first token, and for three probes. */
        const val TICKS = 100
    }
}
