/*
 * Faults and planned work of whole targets.
 */
package org.vanillalink.soak.faults

import org.vanillalink.soak.deployment.SoakDeployment
import org.vanillalink.soak.record.FaultKind
import org.vanillalink.soak.record.InjectedFault
import org.vanillalink.soak.record.Recorder
import org.vanillalink.soak.targets.SoakTarget
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutorService
import kotlin.random.Random

/** Plays one fault after the other, chosen by [random]. */
internal class TargetFaults(
    private val deployment: SoakDeployment,
    private val recorder: Recorder,
    private val kinds: List<FaultKind>,
    private val random: Random,
    private val executor: ExecutorService,
) {
    private val inUse: MutableSet<SoakTarget> = ConcurrentHashMap.newKeySet()

    /** Chooses and starts one fault; returns the pause until the next. */
    fun playNext(): Long {
        val seed = Random(random.nextInt())
        when (kinds.random(random)) {
            FaultKind.SILENT_TARGET -> executor.execute { silenceAgain(deployment.targets.random(seed), seed) }
            FaultKind.SILENT_GROUP -> executor.execute { silenceSeveral(seed) }
            FaultKind.TARGET_CRASH -> begin(seed, ::crash)
            FaultKind.TARGET_DRAINS -> begin(seed, ::leave)
            else -> Unit
        }
        return random.nextLong(SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS)
    }

    private fun silence(
        target: SoakTarget,
        milliseconds: Long,
    ) = target.silence(recorder.now() + milliseconds)

    private fun silenceAgain(
        target: SoakTarget,
        seed: Random,
    ) = repeat(1 + seed.nextInt(MOST_SPANS)) {
        val milliseconds = seed.nextLong(SILENT_FROM, SILENT_TO)
        silence(target, milliseconds)
        Thread.sleep(milliseconds + seed.nextLong(MOST_BETWEEN_SPANS_MS))
    }

    /** Several groups, one shortly after the other. */
    private fun silenceSeveral(seed: Random) = repeat(1 + seed.nextInt(MOST_GROUPS)) {
        silenceNeighbours(seed)
        Thread.sleep(seed.nextLong(MOST_BETWEEN_GROUPS_MS))
    }

    /** The targets of a model in one failure domain, or some of them: the members of groups. */
    private fun silenceNeighbours(seed: Random) {
        val domain = SoakDeployment.DOMAINS.random(seed)
        val members = deployment.targets.filter { it.isOfModel && it.failureDomain == domain }
        val from = seed.nextInt(members.size)
        val milliseconds = seed.nextLong(SILENT_FROM, SILENT_TO)
        recorder.add(
            InjectedFault(FaultKind.SILENT_GROUP, recorder.now(), members[from].name, null, "$milliseconds ms"),
        )
        members.drop(from).take(NEIGHBOURS).forEach { silence(it, milliseconds) }
    }

    private fun begin(
        seed: Random,
        play: (SoakTarget, Random) -> Unit,
    ) {
        val target = deployment.targets.filter { it !in inUse }.randomOrNull(seed) ?: return
        val isLastOfItsKind = deployment.targets.count { it !in inUse && it.isOfModel == target.isOfModel } < 2
        if (isLastOfItsKind || !inUse.add(target)) return
        executor.execute {
            play(target, seed)
            inUse -= target
        }
    }

    private fun crash(
        target: SoakTarget,
        seed: Random,
    ) {
        target.crash()
        Thread.sleep(seed.nextLong(DOWN_FROM, DOWN_TO))
        if (seed.nextBoolean()) target.expire()
        target.start()
        Thread.sleep(SETTLE_MS)
    }

    private fun leave(
        target: SoakTarget,
        seed: Random,
    ) {
        if (seed.nextInt(SILENT_LEAVERS) > 0) target.startDraining() else target.expire()
        Thread.sleep(DRAIN_MS + seed.nextLong(DOWN_TO))
        val untilMs = recorder.now() + LONGEST_WAIT_FOR_HEAD_MS
        while (target.hasWorkInGroup() && recorder.now() < untilMs) Thread.sleep(WORK_CHECK_MS)
        target.leave()
        Thread.sleep(seed.nextLong(DOWN_FROM, DOWN_TO))
        target.start()
        Thread.sleep(SETTLE_MS)
    }

    private companion object {
        const val SILENT_FROM = 600L
        const val SILENT_TO = 1_600L
        const val SHORTEST_PAUSE_MS = 700L
        const val LONGEST_PAUSE_MS = 4_000L
        const val MOST_SPANS = 4
        const val MOST_BETWEEN_SPANS_MS = 1_500L
        const val MOST_GROUPS = 3
        const val MOST_BETWEEN_GROUPS_MS = 300L
        const val NEIGHBOURS = 4
        const val DOWN_FROM = 500L
        const val DOWN_TO = 3_000L

        /** Longer than the deployment's `drainMs` of two seconds. */
        const val DRAIN_MS = 2_500L
        const val LONGEST_WAIT_FOR_HEAD_MS = 10_000L
        const val WORK_CHECK_MS = 20L
        const val SILENT_LEAVERS = 4
        const val SETTLE_MS = 3_000L
    }
}
