/*
 * Several daemons and targets on virtual time, with requests that crash their targets among sound ones.
 *
 * Targets begin to answer after a wait, and continue a moment later. A target that begins to answer a request with the
 * deadly part is lost with all its requests and returns as another instance. Daemons exchange reports that may be late
 * or lost, are restarted and cut off from each other.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.TargetInstance
import java.util.PriorityQueue
import kotlin.random.Random

/** From [from] on, [share] of the requests have one of [deadlyParts]. */
internal data class FleetSettings(
    val daemons: Int = 5,
    val targets: Int = 8,
    val requestsPerSecond: Int = 60,
    val firstParts: Int = 1,
    val share: Double = 0.05,
    val deadlyParts: Int = 1,
    val wereSoundBefore: Boolean = false,
    val from: Long = 3_000,
    val length: Long = 40_000,
    val reportLossProbability: Double = 0.05,
    val hasRestarts: Boolean = false,
    val hasCuts: Boolean = false,
    val hasOtherCrashes: Boolean = false,
    val hasResets: Boolean = false,
)

internal class SimulatedFleet(
    private val settings: FleetSettings,
    seed: Long,
) {
    private class Action(
        val at: Long,
        val order: Long,
        val run: () -> Unit,
    )

    private class Daemon(
        var detector: PoisonRequestDetector,
        var disturbedAt: Long = Long.MIN_VALUE,
        var cutUntil: Long = 0,
    )

    private class Call(
        val signature: RequestSignature,
        val hasDeadlyPart: Boolean,
        val isOfSameOrigin: Boolean,
        var daemon: Daemon,
        var attempts: Int = 0,
        var resends: Int = 0,
    )

    private inner class Target(
        val name: String,
    ) {
        var instance = TargetInstance(HostId(name), 0)
        var isUp = true
        val running = LinkedHashSet<Call>()
    }

    private val random = Random(seed)
    private val actions = PriorityQueue<Action>(compareBy<Action> { it.at }.thenBy { it.order })
    private var now = 0L
    private var scheduled = 0L
    private val daemons = (0 until settings.daemons).map { Daemon(newDetector()) }
    private val targets = (0 until settings.targets).map { Target("t$it") }
    private val deadlyCrashes = ArrayList<Long>()

    /** When requests with a deadly part reached targets, sent by daemons in touch. */
    private val deadlySends = ArrayList<Pair<String, Long>>()

    /** Sound requests with the caller or first part of deadly ones: when they came, and whether they were sent. */
    private val soundRequests = ArrayList<Pair<Long, Boolean>>()

    fun run() {
        schedule(0, ::arrive)
        schedule(0, ::tick)
        schedule(50, ::exchangeReports)
        if (settings.hasRestarts) schedule(4_000, ::restartDaemon)
        if (settings.hasCuts) schedule(5_000, ::cutDaemon)
        if (settings.hasOtherCrashes) schedule(4_500, ::crashTargets)
        if (settings.hasResets) schedule(1_000, ::resetConnection)
        while (actions.isNotEmpty() && now < settings.length) {
            val action = actions.remove()
            now = action.at
            action.run()
        }
    }

    /** Requests with a deadly part that were sent after the fifth crash by that part and [MILLISECONDS_TO_LEARN]. */
    fun lateDeadlySends(): Int {
        val bound = (deadlyCrashes.getOrNull(MAX_CRASHES - 1) ?: return 0) + MILLISECONDS_TO_LEARN
        return deadlySends.count { (_, at) -> at > bound }
    }

    /** The share of sound requests that daemons refused after twice that time, or null for too few. */
    fun refusedShare(): Double? {
        val bound = (deadlyCrashes.getOrNull(MAX_CRASHES - 1) ?: deadlyCrashes.lastOrNull() ?: return null)
        val late = soundRequests.filter { it.first > bound + 2 * MILLISECONDS_TO_LEARN }
        if (late.size < MIN_SOUND_REQUESTS) return null
        return late.count { !it.second }.toDouble() / late.size
    }

    /** The share of all sound requests that daemons refused. */
    fun refusedShareOfAll(): Double = soundRequests.count { !it.second }.toDouble() / soundRequests.size

    val crashes: Int get() = deadlyCrashes.size

    private fun newDetector() = PoisonRequestDetector(Random(random.nextLong())).also { it.daemons = settings.daemons }

    private fun schedule(
        delay: Long,
        run: () -> Unit,
    ) {
        scheduled += 1
        actions.add(Action(now + delay, scheduled, run))
    }

    private fun tick() {
        daemons.forEach { it.detector.update(now) }
        schedule(50, ::tick)
    }

    private fun arrive() {
        schedule(random.nextLong(2_000L / settings.requestsPerSecond) + 1, ::arrive)
        val first = "first-${minOf(random.nextInt(settings.firstParts), random.nextInt(settings.firstParts))}"
        val isDeadly = now > settings.from && random.nextDouble() < settings.share
        val hasDeadlyPart = isDeadly || (settings.wereSoundBefore && now <= settings.from && random.nextInt(4) == 0)
        val second = if (hasDeadlyPart) "bad-${random.nextInt(settings.deadlyParts)}" else "part-${random.nextInt(30)}"
        val signature = RequestSignature(RequestFingerprint("r$scheduled"), listOf(first, second))
        val daemon = daemons.random(random)
        val call = Call(signature, hasDeadlyPart, first == "first-0", daemon)
        val isSent = daemon.detector.findBlockOrBeginTrial(signature, now) == null
        if (!hasDeadlyPart && call.isOfSameOrigin) soundRequests.add(now to isSent)
        if (isSent) send(call)
    }

    private fun send(call: Call) {
        val target = targets.filter { it.isUp }.randomOrNull(random) ?: return
        call.attempts += 1
        if (isDeadly(call) && isInTouch(call.daemon)) deadlySends.add(call.signature.sharedParts[1] to now)
        target.running.add(call)
        val instance = target.instance
        val sentAt = now
        schedule(random.nextLong(10, 300)) { if (isRunning(target, instance, call)) begin(target, call, sentAt) }
    }

    private fun isDeadly(call: Call) = call.hasDeadlyPart && now > settings.from

    private fun isRunning(
        target: Target,
        instance: TargetInstance,
        call: Call,
    ) = target.isUp && target.instance == instance && call in target.running

    private fun begin(
        target: Target,
        call: Call,
        sentAt: Long,
    ) {
        if (isDeadly(call)) {
            deadlyCrashes.add(now)
            crash(target)
            return
        }
        val instance = target.instance
        val begunAt = now
        call.daemon.detector.recordSuccess(instance, sentAt, now)
        schedule(random.nextLong(20, 60)) {
            if (!isRunning(target, instance, call)) return@schedule
            call.daemon.detector.recordAnswer(call.signature, begunAt)
            schedule(random.nextLong(100, 1_000)) { target.running.remove(call) }
        }
    }

    private fun crash(target: Target) {
        val lost = target.running.toList()
        target.running.clear()
        target.isUp = false
        val instance = target.instance
        lost.forEach { call -> schedule(random.nextLong(1, 10)) { onLost(instance, call) } }
        schedule(random.nextLong(3_000, 3_500)) {
            target.instance = TargetInstance(HostId(target.name), now)
            target.isUp = true
        }
    }

    private fun onLost(
        instance: TargetInstance,
        call: Call,
    ) {
        val detector = call.daemon.detector
        detector.recordLoss(instance, call.signature, now)
        detector.update(now)
        if (call.attempts == 1 && detector.findBlock(call.signature, now) == null) {
            send(call)
        } else if (call.resends == 0) {
            schedule(random.nextLong(10, 200)) { resend(call) }
        }
    }

    private fun resend(call: Call) {
        call.resends += 1
        call.attempts = 0
        call.daemon = daemons.random(random)
        if (call.daemon.detector.findBlockOrBeginTrial(call.signature, now) == null) send(call)
    }

    private fun exchangeReports() {
        schedule(200, ::exchangeReports)
        daemons.forEach { sender ->
            val report = sender.detector.buildReport(now)
            daemons.filter { it != sender && now >= maxOf(it.cutUntil, sender.cutUntil) }.forEach { receiver ->
                if (random.nextDouble() < settings.reportLossProbability) return@forEach
                val detector = receiver.detector
                schedule(random.nextLong(1, 50)) { detector.recordReport(report, now) }
            }
        }
    }

    private fun restartDaemon() {
        schedule(4_000, ::restartDaemon)
        daemons.random(random).let {
            it.detector = newDetector()
            it.disturbedAt = now
        }
    }

    private fun cutDaemon() {
        schedule(9_000, ::cutDaemon)
        daemons.random(random).let {
            it.cutUntil = now + 3_000
            it.disturbedAt = it.cutUntil
        }
    }

    private fun crashTargets() {
        schedule(6_000, ::crashTargets)
        targets
            .filter { it.isUp }
            .shuffled(random)
            .take(maxOf(1, targets.size / 4))
            .forEach(::crash)
    }

    private fun resetConnection() {
        schedule(150, ::resetConnection)
        val target = targets.filter { it.isUp && it.running.isNotEmpty() }.randomOrNull(random) ?: return
        val call = target.running.random(random)
        target.running.remove(call)
        onLost(target.instance, call)
    }

    private fun isInTouch(daemon: Daemon): Boolean =
        daemon.disturbedAt == Long.MIN_VALUE || now - daemon.disturbedAt > MILLISECONDS_TO_LEARN

    private companion object {
        /** From the users' bounds: crashes after which, and the time within which, daemons must have learned. */
        const val MAX_CRASHES = 5
        const val MILLISECONDS_TO_LEARN = 3_000L
        const val MIN_SOUND_REQUESTS = 20
    }
}
